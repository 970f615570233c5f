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

// network delivers messages between followers at once.
type network map[string]*Syncer

// memberPeers sends as one member.
type memberPeers struct {
	net  network
	from string
}

func (s memberPeers) Send(to ownership.Member, msg ownership.Message) {
	if f := s.net[to.ID]; f != nil {
		f.Receive(s.from, msg)
	}
}

func encodedTable(version uint64) []byte {
	b, err := json.Marshal(table.Table{Version: version})
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("follower", func() {
	var (
		net     network
		members []ownership.Member
		adopted map[string][]uint64
	)
	join := func(id string, backing store.Store) *Syncer {
		f := New(Config{
			Self: id, Store: backing, Peers: memberPeers{net, id}, Logger: zerolog.Nop(), ReadTimeout: time.Second,
			Members:           func() []ownership.Member { return members },
			Activate:          func(t *table.Table) { adopted[id] = append(adopted[id], t.Version) },
			ControlledTargets: func() []ownership.TargetStatus { return nil },
		})
		net[id] = f
		members = append(members, ownership.Member{ID: id})
		return f
	}
	down := func() *memory.Store {
		s := memory.New(memory.Options{})
		s.SetFaults(memory.Faults{Down: true})
		return s
	}
	BeforeEach(func() { net, members, adopted = network{}, nil, map[string][]uint64{} })

	// Guards against a version that goes back after a delayed message.
	It("never adopts a lower version", func() {
		a := join("a", down())
		for _, version := range []uint64{3, 2, 5, 5, 4} {
			a.Receive("b", ownership.TableUpdate{Version: version, ConfirmedAgeMS: -1, Data: encodedTable(version)})
		}
		Expect(adopted["a"]).To(Equal([]uint64{3, 5}))
	})

	// Guards against an accepted change that an instance without the store never learns.
	It("spreads a published version and waits until a majority has it", func() {
		a := join("a", down())
		b, c := join("b", down()), join("c", down())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(a.Publish(ctx, encodedTable(7), 3)).To(Succeed())
		Expect(b.Table().Version).To(Equal(uint64(7)))
		Expect(c.Table().Version).To(Equal(uint64(7)))
		Expect(a.ActiveVersions()).To(HaveLen(3))
	})

	// Guards against telling that a change is in force although nobody has it.
	It("reports that a majority could not be reached", func() {
		a := join("a", down())
		members = append(members, ownership.Member{ID: "b"}, ownership.Member{ID: "c"})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		Expect(a.Publish(ctx, encodedTable(7), 2)).To(MatchError(context.DeadlineExceeded))
	})

	// Guards against a late answer that makes an old version count as confirmed.
	It("dates a confirmation back to the question", func() {
		a := join("a", down())
		a.Receive("b", ownership.TableUpdate{Version: 7, ConfirmedAgeMS: -1, Data: encodedTable(7)})
		a.startedAt = a.startedAt.Add(-10 * ConfirmationTTL)
		old := ownership.TableUpdate{Stamp: 1, Version: 7, ConfirmedAgeMS: 0}
		a.Receive("b", old)
		recently, _ := a.Confirmed()
		Expect(recently).To(BeFalse())
	})

	// Guards against a crash by a hostile or damaged message.
	It("ignores a table that cannot be read", func() {
		a := join("a", down())
		a.Receive("b", ownership.TableUpdate{Version: 9, Data: []byte("{")})
		Expect(a.Table()).To(BeNil())
	})
})
