package edge

import (
	"context"
	"time"
)

// recordStoreAnswer records that the store has responded to this instance. It ends an outage,
// after which missing targets are kept for reregistrationTime.
func (c *controlLoop) recordStoreAnswer(now time.Duration) {
	c.lastStoreAnswerAt, c.eraKnown = now, true
	if c.storeFailedSince == 0 {
		return
	}
	if now-c.storeFailedSince > minOutageToKeepMissing {
		c.targets.recordOutageEnd(now)
	}
	c.endOutage(now, "answer")
	if c.leadership != nil {
		c.leadership.broadcast(stateUpdate{}) // before other instances take over
	}
}

// endOutage ends the outage of the store. The source says who found that the store responds: an
// "answer" to this instance, or the "leader".
func (c *controlLoop) endOutage(now time.Duration, source string) {
	c.log.Info().Str("event", "store.regained").Str("source", source).Dur("outage_ms", now-c.storeFailedSince).
		Dur("keep_missing_ms", c.targets.keepMissingFor(now)).Send()
	c.storeFailedSince = 0
	c.metrics.storeOutage.Update(0)
	close(c.storeRecovered)
}

// recordStoreFailure records a failed call to the store, unless this instance has cancelled it:
// that says nothing about the store. The context is that of the call.
func (c *controlLoop) recordStoreFailure(ctx context.Context, now time.Duration, err error) {
	if ctx.Err() != nil {
		return
	}
	c.metrics.storeErrors.Inc(1)
	if c.storeFailedSince == 0 {
		c.storeFailedSince, c.storeRecovered = now, make(chan struct{})
		c.metrics.storeOutage.Update(1)
		if c.leadership != nil {
			c.leadership.broadcast(stateUpdate{})
		}
		c.log.Warn().Str("event", "store.lost").Dur("last_answer_ms", now-c.lastStoreAnswerAt).Err(err).Send()
	}
}

// discountSuspension takes the time for which the process was suspended out of the outage of
// the store: an instance that does not run cannot tell whether the store responds.
func (c *controlLoop) discountSuspension(now time.Duration) {
	if gap := now - c.lastActiveAt; c.lastActiveAt > 0 && gap > suspensionThreshold && c.storeFailedSince > 0 {
		c.storeFailedSince += gap
	}
	c.lastActiveAt = now
}

// reachesStore reports whether the store has responded to this instance recently.
func (c *controlLoop) reachesStore(now time.Duration) bool {
	return c.storeFailedSince == 0 && c.lastStoreAnswerAt > 0 && now-c.lastStoreAnswerAt < storeReachableWindow
}
