package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/ownership"
)

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "server")
}

// Guards against a freeze that answers, that stops the lease's clock, or that
// lets a request that had begun take effect after the lease lapsed: tests of
// whole systems with such a server would prove nothing.
var _ = It("a frozen server answers nothing, and returns with a lapsed lease", func() {
	const leaseLength = 200 * time.Millisecond
	effects := make(chan Effect, 10)
	s := New(Config{Target: "r1", WorkTime: leaseLength / 4, Observe: func(e Effect) { effects <- e }})
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	defer s.Kill()

	first := post(s, ownership.ServerRequest{Term: 1})
	post(s, ownership.ServerRequest{
		Term: 1, BootID: first.BootID, AnsweredStamp: first.Stamp, LeaseMS: leaseLength.Milliseconds(),
		SetVersion: 1, Grants: []ownership.PartitionRange{{From: 0, To: 0, Epoch: 7}},
	})
	Expect(get(s, time.Second)).To(Equal(http.StatusOK))
	Expect(effects).To(Receive())

	begun := make(chan int, 1)
	go func() { begun <- get(s, 5*time.Second) }()
	Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.running }).Should(Equal(1))
	s.Pause(2 * leaseLength)
	Expect(get(s, leaseLength/2)).To(BeZero(), "answered while frozen")
	Expect(begun).NotTo(Receive())
	Eventually(begun, 2*time.Second).Should(Receive(Equal(http.StatusMisdirectedRequest)))
	Expect(get(s, time.Second)).To(Equal(http.StatusMisdirectedRequest))
	Expect(effects).NotTo(Receive())

	s.Pause(0)
	s.Resume()
	Expect(get(s, time.Second)).To(Equal(http.StatusMisdirectedRequest), "still frozen after Thaw")
})

func post(s *Server, req ownership.ServerRequest) ownership.ServerReply {
	body, err := json.Marshal(req)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post("http://"+s.Address()+"/boragegate/v1/lease", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close() //nolint:errcheck // read only
	var reply ownership.ServerReply
	Expect(json.NewDecoder(resp.Body).Decode(&reply)).To(Succeed())
	return reply
}

// get returns the status of a request for partition 0 at epoch 7, or 0.
func get(s *Server, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address()+"/items/k", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(headerPartition, "0")
	req.Header.Set(headerEpoch, "7")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
