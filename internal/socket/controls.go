package socket

import "syscall"

// Control is the type of the Control functions of net.Dialer and net.ListenConfig.
type Control = func(network, address string, c syscall.RawConn) error

// Controls returns a Control function that calls the given ones, of which some may be nil, up to the first error.
func Controls(controls ...Control) Control {
	return func(network, address string, c syscall.RawConn) error {
		for _, control := range controls {
			if control == nil {
				continue
			}
			if err := control(network, address, c); err != nil {
				return err
			}
		}
		return nil
	}
}
