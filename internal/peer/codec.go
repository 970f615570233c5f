package peer

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/ownership"
)

// priority decides which queue a message uses.
type priority int

const (
	// urgent messages are sent first and without a byte budget.
	urgent priority = iota
	// low messages wait for urgent ones and for the byte budget.
	low
)

// messageType describes one type of message on the wire.
type messageType struct {
	sample   ownership.Message
	priority priority
	// latestOnly says that a newer message to the same peer replaces a queued one.
	latestOnly bool
	decode     func([]byte) (ownership.Message, error)
}

// typeHandshake is the type of the hello exchange.
const typeHandshake byte = 0

// messageTypes has the type byte of each message. Numbers are part of the
// protocol and are never reused.
var messageTypes = map[byte]messageType{
	1:  newMessageType[ownership.Heartbeat](urgent, true),
	2:  newMessageType[ownership.HeartbeatAck](urgent, true),
	3:  newMessageType[ownership.JoinRequest](low, true),
	4:  newMessageType[ownership.LeaveRequest](urgent, true),
	5:  newMessageType[ownership.CellUpdate](urgent, false),
	6:  newMessageType[ownership.AssignmentUpdate](urgent, false),
	7:  newMessageType[ownership.AssignmentRequest](urgent, false),
	8:  newMessageType[ownership.ReleaseRequest](urgent, false),
	9:  newMessageType[ownership.TargetReport](urgent, false),
	10: newMessageType[ownership.LoadUpdate](low, true),
	11: newMessageType[ownership.AssignmentState](urgent, false),
	12: newMessageType[ownership.Proposal](urgent, false),
	13: newMessageType[ownership.ProposalAck](urgent, false),
	14: newMessageType[ownership.ControlEnded](urgent, false),
	15: newMessageType[ownership.TableRequest](low, false),
	16: newMessageType[ownership.TableUpdate](urgent, false),
}

// typeNumbers is messageTypes by the type of the message.
var typeNumbers = func() map[reflect.Type]byte {
	m := map[reflect.Type]byte{}
	for k, t := range messageTypes {
		m[reflect.TypeOf(t.sample)] = k
	}
	return m
}()

func newMessageType[M ownership.Message](p priority, latest bool) messageType {
	var sample M
	return messageType{sample, p, latest, func(b []byte) (ownership.Message, error) {
		var m M
		err := unmarshal(b, &m)
		return m, err
	}}
}

// encode returns the frame of a message and its type.
func encode(msg ownership.Message) ([]byte, byte, error) {
	kind, ok := typeNumbers[reflect.TypeOf(msg)]
	if !ok {
		return nil, 0, fmt.Errorf("%w %T", ErrUnknownType, msg)
	}
	body, err := marshal(msg)
	if err != nil {
		return nil, 0, err
	}
	b, err := framing.Append(nil, framing.Frame{Kind: kind, Body: body})
	return b, kind, err
}

// decode returns the message of a frame, with its content checked.
func decode(f framing.Frame) (ownership.Message, error) {
	t, ok := messageTypes[f.Kind]
	if !ok {
		return nil, fmt.Errorf("%w %d", ErrUnknownType, f.Kind)
	}
	msg, err := t.decode(f.Body)
	if err != nil {
		return nil, err
	}
	if err := validate(msg); err != nil {
		return nil, err
	}
	return msg, nil
}

func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	// Integers in their shortest form: a heartbeat stays near 30 bytes.
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b.Bytes(), nil
}

func unmarshal(b []byte, v any) error {
	if err := validateEncoding(b); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
