package peer

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/ownership"
)

// priority selects the queue in which a message waits.
type priority int

const (
	// urgent messages are sent before low ones and are not limited by the byte budget.
	urgent priority = iota
	// low messages are sent when no urgent ones are queued and the byte budget allows it.
	low
)

// messageType describes how messages of one type are queued and decoded.
type messageType struct {
	sample   ownership.Message
	priority priority
	// latestOnly is set if a newer message to the same peer replaces a queued one.
	latestOnly bool
	decode     func([]byte) (ownership.Message, error)
}

// typeHandshake is the type number of the handshake.
const typeHandshake byte = 0

// messageTypes maps the type number in a frame to the type of the message. The
// numbers are part of the protocol and must never be reused.
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

// typeNumbers maps the Go type of a message to its type number.
var typeNumbers = func() map[reflect.Type]byte {
	m := map[reflect.Type]byte{}
	for k, t := range messageTypes {
		m[reflect.TypeOf(t.sample)] = k
	}
	return m
}()

func newMessageType[M ownership.Message](p priority, latestOnly bool) messageType {
	var sample M
	return messageType{sample, p, latestOnly, func(b []byte) (ownership.Message, error) {
		var m M
		err := unmarshal(b, &m)
		return m, err
	}}
}

// encode returns the frame of a message and its type number.
func encode(msg ownership.Message) ([]byte, byte, error) {
	typeNumber, ok := typeNumbers[reflect.TypeOf(msg)]
	if !ok {
		return nil, 0, fmt.Errorf("%w %T", ErrUnknownType, msg)
	}
	body, err := marshal(msg)
	if err != nil {
		return nil, 0, err
	}
	b, err := framing.Append(nil, framing.Frame{Type: typeNumber, Body: body})
	return b, typeNumber, err
}

// decode returns the message of a frame after validating its content. Errors match
// ErrUnknownType or ErrMalformed.
func decode(f framing.Frame) (ownership.Message, error) {
	t, ok := messageTypes[f.Type]
	if !ok {
		return nil, fmt.Errorf("%w %d", ErrUnknownType, f.Type)
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
	// Integers are encoded in their shortest form, which keeps a heartbeat near 30 bytes.
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
