package standin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/store/memory"
	"github.com/boragegate/boragegate/table"
)

func (s *Server) listInstances(w http.ResponseWriter, r bunrouter.Request) error {
	list, err := s.Store.Instances(r.Context())
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, list)
}

func (s *Server) register(w http.ResponseWriter, r bunrouter.Request) error {
	id, err := pathParameter(r, "id")
	if err != nil {
		return err
	}
	var in store.Instance
	if err := decodeBody(w, r, &in); err != nil {
		return err
	}
	if in.ID != id {
		return fmt.Errorf("%w: ID differs from path", errBadRequest)
	}
	if err := s.Store.Register(r.Context(), in); err != nil {
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (s *Server) deregister(w http.ResponseWriter, r bunrouter.Request) error {
	id, err := pathParameter(r, "id")
	if err != nil {
		return err
	}
	if err := s.Store.Deregister(r.Context(), id); err != nil {
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// Faults is the body of a PUT to FaultsPath. It replaces all faults.
type Faults struct {
	Delay       table.Duration `json:"delay,omitempty"`
	Down        bool           `json:"down,omitempty"`
	LoseReplies bool           `json:"lose_replies,omitempty"`
	StaleReads  bool           `json:"stale_reads,omitempty"`
	InstanceLag table.Duration `json:"instance_lag,omitempty"`
}

func (s *Server) setFaults(w http.ResponseWriter, r bunrouter.Request) error {
	var f Faults
	if err := decodeBody(w, r, &f); err != nil {
		return err
	}
	s.Store.SetFaults(memory.Faults{
		Delay:       time.Duration(f.Delay),
		Down:        f.Down,
		LoseReplies: f.LoseReplies,
		StaleReads:  f.StaleReads,
		InstanceLag: time.Duration(f.InstanceLag),
	})
	w.WriteHeader(http.StatusNoContent)
	return nil
}
