package edge

import (
	"context"
	"net"

	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/internal/ingress"
	"github.com/boragegate/boragegate/internal/socket"
)

const (
	// callerMemoryFraction is the fraction of the memory limit that connections of callers may hold together. The rest is
	// for the process without callers (about 20 MB), the bodies of responses, connections to targets and garbage.
	callerMemoryFraction = 0.3
	// responseMemoryFraction is the fraction for the bodies of responses.
	responseMemoryFraction = 0.125
)

// limitMemory derives the limits for callers and responses from the memory limit; 0 means none.
func (i *Instance) limitMemory(memoryBytes int64) {
	i.ingress.MemoryBytes = int64(callerMemoryFraction * float64(memoryBytes))
	i.client.BodyMemoryBytes = int64(responseMemoryFraction * float64(memoryBytes))
	i.ingress.Unsent = socket.Unsent
	i.ingress.OnLimit = func(reason string) {
		i.metrics.countLimitedCaller(reason)
		i.log.StartEvent(zerolog.InfoLevel, "caller.limited").Str("reason", reason).Send()
	}
}

// listenForCallers opens the listener for callers. Its connections inherit the sizes of the socket buffers: with the
// kernel's defaults, unread and unsent bytes take up to several MB for each connection.
func listenForCallers(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: socket.Buffers(ingress.ReceiveBufferBytes, ingress.SendBufferBytes)}
	return config.Listen(context.Background(), "tcp", address)
}
