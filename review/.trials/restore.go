package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// restoredBeforeFirst: the store comes back from a copy that is older than the first ownership record, while all
// instances are killed and started again.
func restoredBeforeFirst(d *deployment) error {
	for i := range 3 {
		if err := d.addTarget(fmt.Sprintf("i-stock%d", i), "stock", i, true); err != nil {
			return err
		}
	}
	d.store.put("config", "main", config())
	for i := range 3 {
		e, err := d.newEdge(i + 1)
		if err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
	}
	// The copy has the config and the targets. The instances write their first object a moment later.
	var taken *snapshot
	for c := d.store.snapshot(); !c.hasForeignKinds(); c = d.store.snapshot() {
		taken = c
		time.Sleep(20 * time.Millisecond)
		if time.Since(d.started) > 15*time.Second {
			return errNotReady
		}
	}
	d.record("the copy of the store is made, before the first object that the system writes")
	if !d.waitReady(15 * time.Second) {
		return errNotReady
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.watchHolds(ctx)
	group := d.traffic(ctx, 40, anyKey, stockHost, stockPath+"item")
	time.Sleep(time.Second)
	if err := d.addTarget("i-stock9", "stock", 9, true); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if d.trouble {
		d.record("the store is away")
		d.store.setDown(true)
		time.Sleep(4 * time.Second)
		d.store.restore(taken)
		d.store.setDown(false)
		d.record("the store is back from the copy, which is %.1f s old; all instances are killed", time.Since(taken.taken).Seconds())
		for _, e := range d.edges {
			e.signal(syscall.SIGKILL)
		}
		d.store.put("config", "main", config())
		for _, t := range d.targets {
			t.register()
		}
	}
	time.Sleep(12 * time.Second)
	cancel()
	group.Wait()
	return nil
}
