package edge

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("an instance that stops does not wait for other instances",
	// Guards against a process that is killed at the end of its grace period, because a leader query waits for its answer.
	func(begin func(c *controlLoop, l net.Listener)) {
		c, _ := newTakeoverLoop(1, nil)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		c.t.Go(c.run)
		begin(c, l)
		stoppedAt := time.Now()
		c.t.Kill(nil)
		Expect(c.t.Wait()).To(Succeed())
		Expect(time.Since(stoppedAt)).To(BeNumerically("<", stopReserve))
	},
	Entry("for the answer to a leader query", func(c *controlLoop, l net.Listener) {
		c.t.Go(func() error { c.queryLeader(l.Addr().String()); return nil })
		conn, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		buffer := make([]byte, 1)
		Expect(conn.Read(buffer)).To(Equal(1))
	}),
	Entry("for the first frame of a connection", func(c *controlLoop, l net.Listener) {
		client, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		conn, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		c.t.Go(func() error { c.servePeer(conn); return nil })
	}),
)
