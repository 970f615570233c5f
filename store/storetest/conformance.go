// Package storetest provides the conformance suite that every implementation of
// store.Store must pass.
package storetest

import (
	"bytes"
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2" //nolint:staticcheck // dot imports are usual in ginkgo suites
	. "github.com/onsi/gomega"    //nolint:staticcheck // as above
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/store"
)

// HistoryLength is the maximum number of changes that a store under test keeps for watches.
const HistoryLength = 64

// Harness is an empty store under test with the controls that inject faults into it.
type Harness struct {
	Store store.Store
	// SetDown sets whether all calls fail with store.ErrUnavailable. SetDown(true) also
	// closes all watches.
	SetDown func(bool)
	// LoseReplies sets whether writes return store.ErrOutcomeUnknown although they take
	// effect.
	LoseReplies func(bool)
	// SetDelay sets the time by which every call is delayed.
	SetDelay func(time.Duration)
	// Copy copies the state of the store and returns a function that restores the store from
	// the copy and begins the next era.
	Copy func() (restore func())
}

// DescribeConformance adds the specs of the suite to the current container. Each spec calls
// open, which must return an empty store that keeps at most HistoryLength changes for
// watches.
func DescribeConformance(open func() Harness) {
	var (
		h   Harness
		ctx context.Context
	)
	BeforeEach(func() {
		h = open()
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})
	obj := func(name, value string) store.Object {
		return store.Object{Kind: "k", Name: name, Writer: "w-" + value, Value: []byte(value)}
	}
	create := func(name, value string) store.Object {
		GinkgoHelper()
		o, err := h.Store.Create(ctx, obj(name, value))
		Expect(err).NotTo(HaveOccurred())
		return o
	}

	DescribeTable("fails with the typed error for the cause, so that callers know what happened, and changes nothing",
		func(call func(o store.Object) error, want error) {
			o := create("a", "1")
			Expect(call(o)).To(MatchError(want))
			Expect(h.Store.Get(ctx, "k", "a")).To(Equal(o))
		},
		Entry("get of a missing object", func(store.Object) error { _, err := h.Store.Get(ctx, "k", "b"); return err }, store.ErrNotFound),
		Entry("get of another kind", func(store.Object) error { _, err := h.Store.Get(ctx, "j", "a"); return err }, store.ErrNotFound),
		Entry("create of an existing object", func(store.Object) error { _, err := h.Store.Create(ctx, obj("a", "2")); return err }, store.ErrExists),
		Entry("update of a missing object", func(store.Object) error { _, err := h.Store.Update(ctx, obj("b", "2")); return err }, store.ErrNotFound),
		Entry("update at an older version", func(o store.Object) error { o.Version--; _, err := h.Store.Update(ctx, o); return err }, store.ErrConflict),
		Entry("update at version 0", func(o store.Object) error { o.Version = 0; _, err := h.Store.Update(ctx, o); return err }, store.ErrConflict),
		Entry("delete at a newer version", func(o store.Object) error { return h.Store.Delete(ctx, "k", "a", o.Version+1) }, store.ErrConflict),
		Entry("delete of a missing object", func(store.Object) error { return h.Store.Delete(ctx, "k", "b", 1) }, store.ErrNotFound),
		Entry("update that is too large", func(o store.Object) error {
			o.Value = make([]byte, store.MaxValueBytes+1)
			_, err := h.Store.Update(ctx, o)
			return err
		}, store.ErrTooLarge),
		Entry("call with a cancelled context", func(store.Object) error {
			cancelled, cancel := context.WithCancel(ctx)
			cancel()
			_, err := h.Store.Get(cancelled, "k", "a")
			return err
		}, context.Canceled),
		Entry("watch from a version ahead of the store, as after the store was replaced", func(o store.Object) error {
			_, err := h.Store.Watch(ctx, "k", o.Version+10)
			return err
		}, store.ErrTooOld),
	)

	It("stores values of the maximum size, and names with special characters", func() {
		for name, size := range map[string]int{"a/b ?%ő": store.MaxValueBytes, "a%": 1, "..": 1, "c1.route": 0} {
			o, err := h.Store.Create(ctx, store.Object{Kind: "k/é", Name: name, Value: bytes.Repeat([]byte{0xff}, size)})
			Expect(err).NotTo(HaveOccurred())
			Expect(h.Store.Get(ctx, "k/é", name)).To(Equal(o))
		}
	})

	It("copies values, so that a caller cannot change a stored value", func() {
		o := create("a", "1")
		o.Value[0] = 'x'
		got, err := h.Store.Get(ctx, "k", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got.Value)).To(Equal("1"))
	})

	It("reports every change after the version of a list", func() {
		create("a", "1")
		_, from, err := h.Store.List(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		b := create("b", "2")
		events, err := h.Store.Watch(ctx, "k", from)
		Expect(err).NotTo(HaveOccurred())
		_, err = h.Store.Create(ctx, store.Object{Kind: "other", Name: "x"})
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Store.Delete(ctx, "k", "b", b.Version)).To(Succeed())
		Eventually(events).Should(Receive(Equal(store.Event{Type: store.EventPut, Object: b})))
		var ev store.Event
		Eventually(events).Should(Receive(&ev))
		Expect(ev.Type).To(Equal(store.EventDeleted))
		Expect(ev.Object.Name).To(Equal("b"))
		Expect(ev.Object.Version).To(BeNumerically(">", b.Version))
	})

	It("rejects a watch from a version whose following changes were dropped, instead of skipping changes", func() {
		o := create("a", "0")
		firstVersion := o.Version
		for i := range HistoryLength + 2 {
			o.Value = fmt.Append(nil, i)
			var err error
			o, err = h.Store.Update(ctx, o)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := h.Store.Watch(ctx, "k", firstVersion)
		Expect(err).To(MatchError(store.ErrTooOld))
	})

	It("closes a watch when its context ends or the store becomes unavailable", func() {
		watchCtx, cancel := context.WithCancel(ctx)
		cancelledWatch, err := h.Store.Watch(watchCtx, "k", 0)
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(cancelledWatch).Should(BeClosed())
		openWatch, err := h.Store.Watch(ctx, "k", 0)
		Expect(err).NotTo(HaveOccurred())
		h.SetDown(true)
		Eventually(openWatch).Should(BeClosed())
	})

	It("reports that nothing was written while it is unavailable", func() {
		h.SetDown(true)
		_, err := h.Store.Create(ctx, obj("a", "1"))
		Expect(err).To(MatchError(store.ErrUnavailable))
		Expect(err).NotTo(MatchError(store.ErrOutcomeUnknown))
		h.SetDown(false)
		_, err = h.Store.Get(ctx, "k", "a")
		Expect(err).To(MatchError(store.ErrNotFound))
	})

	It("reports an unknown outcome if the reply is lost, and the caller recognises its write by the writer", func() {
		h.LoseReplies(true)
		_, err := h.Store.Create(ctx, obj("a", "1"))
		Expect(err).To(MatchError(store.ErrOutcomeUnknown))
		h.LoseReplies(false)
		got, err := h.Store.Get(ctx, "k", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Writer).To(Equal("w-1"))
		h.LoseReplies(true)
		Expect(h.Store.Delete(ctx, "k", "a", got.Version)).To(MatchError(store.ErrOutcomeUnknown))
	})

	It("ends a call at the caller's deadline if the store is slow", func() {
		h.SetDelay(time.Hour)
		shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := h.Store.Create(shortCtx, obj("a", "1"))
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})

	It("is restored from a copy: later writes are lost, and their versions are assigned again in the next era", func() {
		// Guards against a stand-in that keeps acknowledged writes or versions, which the platform's store does not, and a
		// client that returns restored state before its caller knows of the era.
		reporter := h.Store.(store.EraReporter)
		var eras []store.Era
		reporter.ObserveEra(func(e store.Era) { eras = append(eras, e) })
		a := create("a", "1")
		restore := h.Copy()
		lost := create("b", "2")
		replaced, err := h.Store.Update(ctx, store.Object{Kind: "k", Name: "a", Version: a.Version, Value: []byte("3")})
		Expect(err).NotTo(HaveOccurred())
		openWatch, err := h.Store.Watch(ctx, "k", replaced.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(eras).To(BeEmpty())
		for era := store.Era(1); era <= 2; era++ {
			restore()
			Expect(h.Store.Get(ctx, "k", "a")).To(Equal(a))
			Expect(eras).To(Equal([]store.Era{1, 2}[:era]))
			Expect(reporter.Era()).To(Equal(era))
			Eventually(openWatch).Should(BeClosed())
			_, err = h.Store.Watch(ctx, "k", replaced.Version)
			Expect(err).To(MatchError(store.ErrTooOld))
			_, err = h.Store.Get(ctx, "k", "b")
			Expect(err).To(MatchError(store.ErrNotFound))
			Expect(create("c", "4").Version).To(Equal(lost.Version))
		}
	})

	It("lists registered instances in order of ID until they are deregistered", func() {
		r, ok := h.Store.(store.Registrar)
		if !ok {
			Skip("the platform maintains the list of instances itself")
		}
		one := store.Instance{ID: "i-1", Zone: "z1", State: store.InstanceLive, PeerAddress: "127.0.0.1:1", ForwardAddress: "127.0.0.1:2"}
		two := store.Instance{ID: "i-2", Zone: "z2", State: store.InstanceLeaving}
		Expect(r.Register(ctx, two)).To(Succeed())
		Expect(r.Register(ctx, one)).To(Succeed())
		Expect(h.Store.Instances(ctx)).To(Equal([]store.Instance{one, two}))
		Expect(r.Deregister(ctx, "i-1")).To(Succeed())
		Expect(h.Store.Instances(ctx)).To(Equal([]store.Instance{two}))
	})

	It("lets exactly one of several concurrent updates succeed, so that two planners cannot both record an owner", func() {
		o := create("a", "0")
		const writers = 8
		errs := make(chan error, writers)
		for range writers {
			go func() { _, err := h.Store.Update(ctx, o); errs <- err }()
		}
		succeeded := 0
		for range writers {
			if err := <-errs; err == nil {
				succeeded++
			} else {
				Expect(err).To(MatchError(store.ErrConflict))
			}
		}
		Expect(succeeded).To(Equal(1))
	})

	It("matches a model under random writes, so that no conditional write is lost or applied twice", func() {
		kinds := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			kinds++
			checkAgainstModel(ctx, t, h.Store, fmt.Sprint("model-", kinds))
		})
	})
}

// checkAgainstModel makes random writes and compares their results, the versions and the
// final list with a model, which is a map. The store must not have objects of the kind at
// the start.
func checkAgainstModel(ctx context.Context, t *rapid.T, s store.Store, kind string) {
	model := map[string]store.Object{}
	var newestVersion store.Version
	for range rapid.IntRange(1, 30).Draw(t, "calls") {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
		current, found := model[name]
		obj := store.Object{Kind: kind, Name: name, Version: current.Version, Value: []byte(rapid.String().Draw(t, "value"))}
		if rapid.Bool().Draw(t, "wrong version") {
			obj.Version += store.Version(rapid.Uint64Range(1, 3).Draw(t, "ahead"))
		}
		var got store.Object
		var err error
		want := expectedError(found, obj.Version == current.Version)
		switch rapid.IntRange(0, 2).Draw(t, "call") {
		case 0:
			want = store.ErrExists
			if !found {
				want = nil
			}
			got, err = s.Create(ctx, obj)
		case 1:
			got, err = s.Update(ctx, obj)
		case 2:
			if err = s.Delete(ctx, kind, name, obj.Version); err == nil {
				delete(model, name)
			}
		}
		NewWithT(t).Expect(err).To(errorMatcher(want))
		if got.Name != "" {
			NewWithT(t).Expect(got.Version).To(BeNumerically(">", newestVersion))
			model[name], newestVersion = got, got.Version
		}
	}
	list, _, err := s.List(ctx, kind)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(list).To(HaveLen(len(model)))
	for _, o := range list {
		NewWithT(t).Expect(o).To(Equal(model[o.Name]))
	}
}

func expectedError(found, sameVersion bool) error {
	switch {
	case !found:
		return store.ErrNotFound
	case !sameVersion:
		return store.ErrConflict
	}
	return nil
}

func errorMatcher(want error) OmegaMatcher {
	if want == nil {
		return BeNil()
	}
	return MatchError(want)
}
