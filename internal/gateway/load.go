package gateway

import (
	"net/http"
	"time"

	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/ownership"
)

// choose picks a target of a service that is not divided by key.
func (g *Gateway) choose(s *route.Service, _ *call) *route.Target {
	for _, t := range s.Targets {
		if t.Ready && !t.Row.Drain {
			return t
		}
	}
	return nil
}

func (g *Gateway) noteLoad(_ *route.Target, _ http.Header) {}

func (g *Gateway) loadHeader(_ *route.Target) http.Header { return http.Header{} }

func (g *Gateway) noteRun(_ *run, _ time.Duration) {}

// LoadReports returns the load of the targets that this instance is in front of.
func (g *Gateway) LoadReports() []ownership.LoadReport { return nil }
