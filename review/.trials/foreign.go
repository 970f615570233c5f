package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

var errNotReady = errors.New("the instances did not become ready")

const (
	stockHost = "stock.example"
	stockPath = "/stock/"
)

// config is the operator's config with one sharded service and one that is not.
func config() map[string]any {
	route := func(name, prefix, kind, service, timeout, aim string) map[string]any {
		return map[string]any{
			"name": name, "path_prefix": prefix, "kind": kind, "timeout": timeout, "target_latency": aim, "priority": 1,
			"service": service, "max_attempts": 2,
		}
	}
	return map[string]any{
		"version": 3,
		"services": []any{
			map[string]any{"name": "stock", "health_path": "/health", "max_conns": 120, "protocol": "h1", "tls": false, "sharded": true, "warm": "5s", "grants": "rpc"},
			map[string]any{"name": "ledger", "health_path": "/health", "max_conns": 120, "protocol": "h1", "tls": false},
			map[string]any{"name": "packs", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"hosts": []any{
			map[string]any{"host": stockHost, "paths": []any{
				route("stock-look", stockPath, "safe", "stock", "1200ms", "200ms"),
				route("loan-book", "/loan/", "unsafe", "ledger", "1500ms", "250ms"),
				route("member-look", "/member/", "safe", "ledger", "1200ms", "200ms"),
				route("pack", "/pack/", "download", "packs", "2000ms", "1000ms"),
			}},
		},
	}
}

// startSmall starts three instances, four targets that hold keys and two others.
func startSmall(d *deployment) error {
	for i := range 4 {
		if err := d.addTarget(fmt.Sprintf("i-stock%d", i), "stock", i, true); err != nil {
			return err
		}
	}
	for i := range 2 {
		if err := d.addTarget(fmt.Sprintf("i-ledger%d", i), "ledger", 10+i, false); err != nil {
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
	if !d.waitReady(15 * time.Second) {
		return errNotReady
	}
	return nil
}

func anyKey() int { return rand.IntN(keyCount) }

// foreignEntry: an entry of another writer, for a service that no config names, has the address of a target.
func foreignEntry(d *deployment) error {
	if err := startSmall(d); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.watchHolds(ctx)
	group := d.traffic(ctx, 40, anyKey, stockHost, stockPath+"item")
	time.Sleep(4 * time.Second)
	victim := d.targets[1]
	if d.trouble {
		d.record("another writer writes the entry x-copy: the address of %s, a service that is not named anywhere", victim.id)
		victim.mu.Lock()
		spec := victim.entry()
		victim.mu.Unlock()
		spec["info"] = map[string]any{"service": "no-such-service", "version": "v1", "zone": "zone-a", "capacity": 4}
		spec["born"] = time.Now().UnixMilli()
		d.store.put("servers", "x-copy", spec)
	}
	time.Sleep(8 * time.Second)
	cancel()
	group.Wait()
	return nil
}
