// Package freeport chooses TCP ports for the listeners of tests and soak runs.
package freeport

import (
	"net"
	"sync"
)

var (
	mu sync.Mutex
	// chosen has the addresses that Choose has returned in this process.
	chosen = map[string]bool{}
)

// Choose returns n different ports of the IP address that no listener uses. It returns no port of the address twice in a
// process, because a port is not in use until its listener starts.
func Choose(ip string, n int) ([]int, error) {
	mu.Lock()
	defer mu.Unlock()
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	var ports []int
	for len(ports) < n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l) // stays open, so that the system chooses another port next
		if address := l.Addr().String(); !chosen[address] {
			chosen[address] = true
			ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		}
	}
	return ports, nil
}
