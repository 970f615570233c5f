package gateway_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/internal/gateway"
)

var _ = DescribeTable("A response without a length that comes while the request is being written",
	// Guards against the beginning of a body that a caller gets as a complete one after a reset: the write of the request had got
	// the error of the connection, and the read after it saw an ordinary end.
	func(end func(c *net.TCPConn), wantComplete int) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
						end(c.(*net.TCPConn))
					}
					_ = c.Close()
				}()
			}
		}()
		transport := gateway.NewTransport(1)
		DeferCleanup(transport.CloseIdleConnections)
		client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
		complete := 0
		for range 200 {
			resp, err := client.Post("http://"+l.Addr().String(), "", bytes.NewReader(make([]byte, 8<<20)))
			if err != nil {
				continue
			}
			if b, err := io.ReadAll(resp.Body); err == nil && string(b) == "part" {
				complete++
			}
			_ = resp.Body.Close()
		}
		Expect(complete).To(Equal(wantComplete), "of 200")
	},
	Entry("is not complete if the connection is reset", func(c *net.TCPConn) {
		time.Sleep(200 * time.Microsecond)
		_ = c.SetLinger(0) // closing resets the connection
	}, 0),
	Entry("is complete if the server has closed its side of the connection", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}, 200),
)
