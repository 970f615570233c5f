package edge

import (
	"context"
	"errors"
	"time"

	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/store"
)

// An instance whose control loop does not run, because its process was suspended or gets too
// little processor time, activates no change of the configuration, while the goroutines that
// serve requests may go on. Such an instance rejects requests until it has read the
// configuration and the evacuations from the store.

// isConfigUnconfirmed reports whether the configuration may have been replaced so long ago that
// no request must be served with it. It may be called from any goroutine.
func (s *sharedState) isConfigUnconfirmed() bool {
	tickAt := time.Duration(s.loopTickAt.Load())
	return s.reconfirming.Load() || tickAt > 0 && socket.BootTime()-tickAt > s.maxLoopDelay
}

// checkLoopDelay detects that the control loop has not run for too long.
func (c *controlLoop) checkLoopDelay(now time.Duration) {
	tickAt := time.Duration(c.shared.loopTickAt.Load())
	if tickAt == 0 || now-tickAt <= c.shared.maxLoopDelay || c.shared.reconfirming.Load() {
		return
	}
	c.metrics.configReconfirmations.Inc(1)
	c.log.Warn().Str("event", "config.unconfirmed").Dur("loop_delay_ms", now-tickAt).Uint64("store_version", uint64(c.configVersion)).Send()
	c.shared.reconfirming.Store(true)
	c.reconfirmConfig()
}

// reconfirmConfig reads the configuration and the evacuations from the store in a goroutine of its own. If the store
// does not answer, this instance goes on with the configuration that it has, like all others
// during an outage. A failed call says nothing about the store while the loop stands still.
func (c *controlLoop) reconfirmConfig() {
	ctx := c.t.Context(context.Background())
	kind, name := c.platform.ConfigObject()
	restores := c.restores
	c.t.Go(func() error {
		sentAt := socket.BootTime()
		object, err := c.store.Get(ctx, kind, name)
		var evacuations []store.Object
		var evacuationsVersion store.Version
		if err == nil && c.evacuations.kind != "" {
			evacuations, evacuationsVersion, err = c.store.List(ctx, c.evacuations.kind)
		}
		c.postUrgent(func() {
			now := socket.BootTime()
			answered := err == nil || errors.Is(err, store.ErrNotFound)
			if restores != c.restores || answered && now-sentAt > c.shared.maxLoopDelay || !answered && now-time.Duration(c.shared.loopTickAt.Load()) > suspensionThreshold {
				c.reconfirmConfig()
				return
			}
			switch {
			case err == nil:
				c.recordStoreAnswer(now)
				c.applyConfig(object, c.era)
				c.confirmRead(kind, sentAt)
				if c.evacuations.kind != "" {
					c.handleEvacuationList(now, evacuations, evacuationsVersion)
					c.confirmRead(c.evacuations.kind, sentAt)
				}
			case !answered:
				c.recordStoreFailure(ctx, now, err)
			}
			c.shared.reconfirming.Store(false)
			c.log.Info().Str("event", "config.reconfirmed").Dur("took_ms", now-sentAt).Uint64("store_version", uint64(c.configVersion)).Err(err).Send()
		})
		return nil
	})
}
