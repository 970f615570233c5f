package routing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

func route(name, host, prefix string, services ...string) routing.Route {
	r := routing.Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second}
	for _, s := range services {
		r.Destinations = append(r.Destinations, routing.Destination{Service: s, Weight: 1})
	}
	return r
}

var _ = Describe("Config", func() {
	services := []routing.Service{{Name: "a"}, {Name: "b", Partitioned: true}}

	DescribeTable("selects the route with the longest prefix of the host",
		// Guards against requests that reach a service to which they are not allowed.
		func(host, path, want string) {
			c, list := routing.NewConfig(1, routing.Limits{}, services, []routing.Route{
				route("short", "h", "/x/", "a"), route("long", "h", "/x/y/", "b"), route("other", "i", "/x/", "a"),
			})
			Expect(list).To(BeEmpty())
			r := c.Match(host, path)
			if want == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r.Name).To(Equal(want))
		},
		Entry("short", "h", "/x/1", "short"),
		Entry("long", "h", "/x/y/1", "long"),
		Entry("host in capitals with port", "H:80", "/x/y/", "long"),
		Entry("another host", "i", "/x/y/1", "other"),
		Entry("prefix without its slash", "h", "/x", ""),
		Entry("unknown host", "j", "/x/", ""),
	)

	It("reports routes that cannot be used and keeps the others", func() {
		// Guards against one faulty route that takes all others out of service.
		noTimeout := route("t", "h", "/t/", "a")
		noTimeout.Timeout = 0
		c, list := routing.NewConfig(1, routing.Limits{}, services, []routing.Route{
			route("good", "h", "/x/", "a"), route("service", "h", "/y/", "c"), route("none", "h", "/z/"),
			route("prefix", "h", "x/", "a"), route("host", "", "/x/", "a"), noTimeout,
		})
		Expect(list).To(HaveLen(5))
		Expect(c.RouteCount()).To(Equal(1))
		Expect(c.Match("h", "/x/").MaxAttempts).To(Equal(1))
		Expect(c.PartitionedServices()).To(Equal([]string{"b"}))
	})
})
