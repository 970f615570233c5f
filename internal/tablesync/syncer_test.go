package tablesync

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/store/memory"
	"github.com/boragegate/boragegate/table"
)

func TestTablesync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tablesync")
}

// network delivers messages between Syncers synchronously.
type network map[string]*Syncer

// memberPeers sends messages on behalf of one member.
type memberPeers struct {
	net  network
	from string
}

func (p memberPeers) Send(to ownership.Member, msg ownership.Message) {
	if receiver := p.net[to.ID]; receiver != nil {
		receiver.Receive(p.from, msg)
	}
}

func encodedTable(version uint64) []byte {
	b, err := json.Marshal(table.Table{Version: version})
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("Syncer", func() {
	var (
		net       network
		members   []ownership.Member
		activated map[string][]uint64
	)
	join := func(id string, backing store.Store) *Syncer {
		syncer := New(Config{
			Self: id, Store: backing, Peers: memberPeers{net, id}, Logger: zerolog.Nop(), ReadTimeout: time.Second,
			Members:           func() []ownership.Member { return members },
			Activate:          func(t *table.Table) { activated[id] = append(activated[id], t.Version) },
			ControlledTargets: func() []ownership.TargetStatus { return nil },
		})
		net[id] = syncer
		members = append(members, ownership.Member{ID: id})
		return syncer
	}
	unavailableStore := func() *memory.Store {
		s := memory.New(memory.Options{})
		s.SetFaults(memory.Faults{Down: true})
		return s
	}
	BeforeEach(func() { net, members, activated = network{}, nil, map[string][]uint64{} })

	// Guards against a delayed message that replaces the active table by an older one.
	It("never activates a lower version", func() {
		a := join("a", unavailableStore())
		for _, version := range []uint64{3, 2, 5, 5, 4} {
			a.Receive("b", ownership.TableUpdate{Version: version, ConfirmedAgeMS: -1, Data: encodedTable(version)})
		}
		Expect(activated["a"]).To(Equal([]uint64{3, 5}))
	})

	// Guards against an accepted change that never reaches an instance that cannot
	// read the store.
	It("sends a published version to all members and waits until it is active on the required number of instances", func() {
		a := join("a", unavailableStore())
		b, c := join("b", unavailableStore()), join("c", unavailableStore())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(a.Publish(ctx, encodedTable(7), 3)).To(Succeed())
		Expect(b.Table().Version).To(Equal(uint64(7)))
		Expect(c.Table().Version).To(Equal(uint64(7)))
		Expect(a.ActiveVersions()).To(HaveLen(3))
	})

	// Guards against reporting a change as active that no other instance has received.
	It("returns an error from Publish if a majority cannot be reached", func() {
		a := join("a", unavailableStore())
		members = append(members, ownership.Member{ID: "b"}, ownership.Member{ID: "c"})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		Expect(a.Publish(ctx, encodedTable(7), 2)).To(MatchError(context.DeadlineExceeded))
	})

	// Guards against a late reply that makes an outdated version count as confirmed.
	It("dates a confirmation to the time of the request", func() {
		a := join("a", unavailableStore())
		a.Receive("b", ownership.TableUpdate{Version: 7, ConfirmedAgeMS: -1, Data: encodedTable(7)})
		a.startedAt = a.startedAt.Add(-10 * ConfirmationTTL)
		old := ownership.TableUpdate{Stamp: 1, Version: 7, ConfirmedAgeMS: 0}
		a.Receive("b", old)
		recently, _ := a.Confirmed()
		Expect(recently).To(BeFalse())
	})

	// Guards against a panic on a malformed message.
	It("ignores a table that cannot be decoded", func() {
		a := join("a", unavailableStore())
		a.Receive("b", ownership.TableUpdate{Version: 9, Data: []byte("{")})
		Expect(a.Table()).To(BeNil())
	})
})
