package control

import (
	"context"
	"errors"

	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/store"
)

func (r *Runner) execute(a ownership.Action) {
	switch a := a.(type) {
	case ownership.SendMessage:
		r.cfg.Peers.Send(a.To, a.Message)
	case ownership.CallServer:
		r.t.Go(func() error { r.callServer(a); return nil })
	case ownership.ReadObject:
		r.t.Go(func() error { r.readObject(a); return nil })
	case ownership.WriteObject:
		r.t.Go(func() error { r.writeObject(a); return nil })
	case ownership.StopAdmission:
		r.cfg.AdmissionStopper.StopAdmission(a.Target, a.Term, a.Partitions, func() {
			r.Post(ownership.AdmissionStopped(a))
		})
	case ownership.ExtendContact:
		r.contactExpiry.Store(int64(a.Until))
	case ownership.ExtendLease:
		r.extendLease(a)
	case ownership.PublishRoutes:
		r.view.Store(a.View)
		r.publish(a.View)
	case ownership.LogEntry:
		r.cfg.OnLogEntry(a)
	case ownership.Stopped:
		close(r.stopped)
	}
}

func (r *Runner) callServer(a ownership.CallServer) {
	timeout := a.Request.Timeout
	if timeout == 0 {
		timeout = milliseconds(a.Request.WaitMS) + serverTimeout
	}
	ctx, cancel := context.WithTimeout(r.context(), timeout)
	defer cancel()
	reply, err := r.cfg.Servers.Call(ctx, a.Address, a.Request)
	r.Post(ownership.ServerReplied{ID: a.ID, Target: a.Target, Reply: reply, Err: err})
}

func (r *Runner) readObject(a ownership.ReadObject) {
	ctx, cancel := context.WithTimeout(r.context(), r.cfg.StoreTimeout)
	defer cancel()
	obj, err := r.cfg.Store.Get(ctx, a.Kind, a.Name)
	r.Post(ownership.StoreReplied{ID: a.ID, Object: obj, Err: err})
}

// writeObject creates or updates an object. After a conflict or a write whose outcome is
// unknown, it reads the object, so that the core can recognise its own write.
func (r *Runner) writeObject(a ownership.WriteObject) {
	ctx, cancel := context.WithTimeout(r.context(), r.cfg.StoreTimeout)
	defer cancel()
	obj, err := r.put(ctx, a.Object)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrExists) || errors.Is(err, store.ErrOutcomeUnknown) {
		if current, readErr := r.cfg.Store.Get(ctx, a.Object.Kind, a.Object.Name); readErr == nil {
			obj = current
		}
	}
	r.Post(ownership.StoreReplied{ID: a.ID, Object: obj, Err: err})
}

func (r *Runner) put(ctx context.Context, obj store.Object) (store.Object, error) {
	if obj.Version == 0 {
		return r.cfg.Store.Create(ctx, obj)
	}
	return r.cfg.Store.Update(ctx, obj)
}
