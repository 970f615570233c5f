package daemon

import (
	"context"
	"net/http"

	"github.com/boragegate/boragegate/internal/gateway"
	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/store"
)

// recordTransferWindow is the time for which a stopping instance still answers other
// instances after the hand-over. The next controllers take the idempotency
// records in that time; without them they would refuse fresh keys as unknown.
const recordTransferWindow = gateway.DefaultTakeoverTimeout

// Stop ends the instance without cutting off a request in flight: the readiness
// check fails first, the balancer gets time to notice, everything that this
// instance controls is handed over, and the requests in flight finish. When ctx
// ends first, the rest is cut off and counted in the log.
func (i *Instance) Stop(ctx context.Context) error {
	i.stopping.Store(true)
	wait.For(i.opts.BalancerDelay, ctx.Done())
	handOver := i.runner.HandOver(ctx)
	if handOver != nil {
		i.logger.Warn().Str("event", "instance.hand_over_failed").Err(handOver).Send()
	}
	if r, ok := i.opts.Store.(store.Registrar); ok {
		_ = r.Deregister(ctx, i.opts.ID)
	}
	if handOver == nil {
		wait.For(recordTransferWindow, ctx.Done())
	}
	i.shutdownServers(ctx)
	err := i.gateway.Shutdown(ctx)
	if err != nil {
		i.logger.Warn().Str("event", "instance.forced_stop").Int("cut_off", i.gateway.InFlight()).Send()
	}
	i.terminate()
	if err == nil {
		err = handOver
	}
	return err
}

// shutdownServers stops listening and waits for the connections to become idle.
func (i *Instance) shutdownServers(ctx context.Context) {
	i.listeners.mu.Lock()
	servers := append([]*http.Server(nil), i.listeners.servers...)
	i.listeners.mu.Unlock()
	for _, srv := range servers {
		_ = srv.Shutdown(ctx)
	}
}

// Kill ends the instance at once, as a crash does.
func (i *Instance) Kill() { i.terminate() }

func (i *Instance) terminate() {
	i.t.Kill(nil)
	i.listeners.close()
	_ = i.follower.Close()
	_ = i.peers.Close()
	_ = i.runner.Close()
	i.servers.Close()
	_ = i.t.Wait()
}
