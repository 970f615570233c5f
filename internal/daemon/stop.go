package daemon

import (
	"context"
	"net/http"

	"github.com/boragegate/boragegate/internal/gateway"
	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/store"
)

// recordTransferWindow is the time for which a stopping instance still serves other instances
// after the handover, so that the next controllers can fetch its idempotency records. They
// give up after that time. Without the records they would reject requests with recently issued
// idempotency keys, because the outcome of an earlier attempt would be unknown.
const recordTransferWindow = gateway.DefaultTakeoverTimeout

// Stop stops the instance gracefully: it fails the readiness check, gives the load
// balancer time to notice, hands over all targets that the instance controls, deregisters
// the instance from the store and waits for the requests in flight. If ctx ends first, the
// remaining requests are cut off and their number is logged. Stop returns an error if
// requests were cut off or the handover failed.
func (i *Instance) Stop(ctx context.Context) error {
	i.stopping.Store(true)
	wait.For(i.opts.BalancerDelay, ctx.Done())
	handOverErr := i.runner.HandOver(ctx)
	if handOverErr != nil {
		i.logger.Warn().Str("event", "instance.hand_over_failed").Err(handOverErr).Send()
	}
	if r, ok := i.opts.Store.(store.Registrar); ok {
		_ = r.Deregister(ctx, i.opts.ID)
	}
	if handOverErr == nil {
		wait.For(recordTransferWindow, ctx.Done())
	}
	i.shutdownServers(ctx)
	err := i.gateway.Shutdown(ctx)
	if err != nil {
		i.logger.Warn().Str("event", "instance.forced_stop").Int("cut_off", i.gateway.ActiveRequests()).Send()
	}
	i.terminate()
	if err == nil {
		err = handOverErr
	}
	return err
}

// shutdownServers closes the listeners and waits until the connections are idle or ctx ends.
func (i *Instance) shutdownServers(ctx context.Context) {
	i.listeners.mu.Lock()
	servers := append([]*http.Server(nil), i.listeners.servers...)
	i.listeners.mu.Unlock()
	for _, srv := range servers {
		_ = srv.Shutdown(ctx)
	}
}

// Kill ends the instance immediately and without a handover, as a crash would.
func (i *Instance) Kill() { i.terminate() }

func (i *Instance) terminate() {
	i.t.Kill(nil)
	i.listeners.close()
	_ = i.tableSyncer.Close()
	_ = i.peers.Close()
	_ = i.runner.Close()
	i.servers.Close()
	_ = i.t.Wait()
}
