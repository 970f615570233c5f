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

// Guards against a paused server that still replies, whose lease clock stops, or whose
// requests in flight take effect after the lease has expired. System tests that pause this
// server would then prove nothing.
var _ = It("a paused server sends no reply, and resumes with an expired lease", func() {
	const leaseDuration = 200 * time.Millisecond
	effects := make(chan Effect, 10)
	s := New(Config{Target: "r1", WorkTime: leaseDuration / 4, Observe: func(e Effect) { effects <- e }})
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	defer s.Kill()

	firstReply := post(s, ownership.ServerRequest{Term: 1})
	post(s, ownership.ServerRequest{
		Term: 1, BootID: firstReply.BootID, AnsweredStamp: firstReply.Stamp, LeaseMS: leaseDuration.Milliseconds(),
		SetVersion: 1, Grants: []ownership.PartitionRange{{From: 0, To: 0, Epoch: 7}},
	})
	Expect(get(s, time.Second)).To(Equal(http.StatusOK))
	Expect(effects).To(Receive())

	inFlightStatus := make(chan int, 1)
	go func() { inFlightStatus <- get(s, 5*time.Second) }()
	Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.running }).Should(Equal(1))
	s.Pause(2 * leaseDuration)
	Expect(get(s, leaseDuration/2)).To(BeZero(), "replied while paused")
	Expect(inFlightStatus).NotTo(Receive())
	Eventually(inFlightStatus, 2*time.Second).Should(Receive(Equal(http.StatusMisdirectedRequest)))
	Expect(get(s, time.Second)).To(Equal(http.StatusMisdirectedRequest))
	Expect(effects).NotTo(Receive())

	s.Pause(0)
	s.Resume()
	Expect(get(s, time.Second)).To(Equal(http.StatusMisdirectedRequest), "still paused after Resume")
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

// get sends a request for partition 0 at epoch 7 and returns the HTTP status, or
// 0 if there is no response within the timeout.
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
