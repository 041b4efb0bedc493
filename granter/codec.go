package granter

import (
	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/mapper"
)

// encode encodes a message as a frame.
func encode(group carawaybeam.GroupID, message mapper.Message) *framer.Frame {
	encoded := &framer.MapMessage{
		Group:           string(group),
		From:            uint32(message.From),
		To:              uint32(message.To),
		FromIncarnation: string(message.FromIncarnation),
		ToIncarnation:   string(message.ToIncarnation),
	}
	encodeBody(encoded, message.Body)
	return &framer.Frame{Body: &framer.Frame_MapMessage{MapMessage: encoded}}
}

func encodeBody(encoded *framer.MapMessage, body mapper.Body) {
	switch b := body.(type) {
	case mapper.Hello:
		encoded.Body = &framer.MapMessage_Hello{Hello: &framer.MapHello{}}
	case mapper.Probe:
		encoded.Body = &framer.MapMessage_Probe{Probe: &framer.MapProbe{Nonce: b.Nonce, Echo: b.Echo}}
	case mapper.Challenge:
		encoded.Body = &framer.MapMessage_Challenge{Challenge: &framer.MapChallenge{Nonce: b.Nonce}}
	case mapper.State:
		encoded.Body = &framer.MapMessage_State{State: &framer.MapState{
			Probe: b.Probe, Schedule: encodeSchedule(b.Schedule), Next: encodeAssignment(b.Next),
		}}
	case mapper.Vote:
		encoded.Body = &framer.MapMessage_Vote{
			Vote: &framer.MapVote{Proposal: encodeAssignment(b.Proposal), Yes: b.Yes},
		}
	case mapper.Query:
		encoded.Body = &framer.MapMessage_Query{Query: &framer.MapQuery{Proposal: encodeAssignment(b.Proposal)}}
	case mapper.Record:
		encoded.Body = &framer.MapMessage_Record{Record: encodeRecord(b)}
	case mapper.Ack:
		encoded.Body = &framer.MapMessage_Ack{Ack: &framer.MapAck{Sequence: b.Sequence}}
	}
}

func encodeRecord(r mapper.Record) *framer.MapRecord {
	return &framer.MapRecord{
		Sequence:        r.Sequence,
		Schedule:        encodeSchedule(r.Schedule),
		Next:            encodeAssignment(r.Next),
		ResolvedEpoch:   uint64(r.Resolved.Epoch),
		ResolvedVersion: uint64(r.Resolved.Version),
		Stable:          r.Stable,
	}
}

func encodeSchedule(s mapper.Schedule) *framer.MapSchedule {
	return &framer.MapSchedule{Previous: encodeAssignment(s.Previous), Current: encodeAssignment(s.Current)}
}

func encodeAssignment(a mapper.Assignment) *framer.MapAssignment {
	return &framer.MapAssignment{
		Epoch: uint64(a.ID.Epoch), Version: uint64(a.ID.Version), Step: uint64(a.Step), Digest: uint64(a.Digest),
	}
}

// decode decodes a message. It reports false if the type of its body is unknown.
func decode(encoded *framer.MapMessage) (mapper.Message, bool) {
	body := decodeBody(encoded)
	return mapper.Message{
		From:            carawaybeam.Rank(encoded.GetFrom()),
		To:              carawaybeam.Rank(encoded.GetTo()),
		FromIncarnation: carawaybeam.Incarnation(encoded.GetFromIncarnation()),
		ToIncarnation:   carawaybeam.Incarnation(encoded.GetToIncarnation()),
		Body:            body,
	}, body != nil
}

func decodeBody(encoded *framer.MapMessage) mapper.Body {
	switch b := encoded.GetBody().(type) {
	case *framer.MapMessage_Hello:
		return mapper.Hello{}
	case *framer.MapMessage_Probe:
		return mapper.Probe{Nonce: b.Probe.GetNonce(), Echo: b.Probe.GetEcho()}
	case *framer.MapMessage_Challenge:
		return mapper.Challenge{Nonce: b.Challenge.GetNonce()}
	case *framer.MapMessage_State:
		s := b.State
		return mapper.State{
			Probe:    s.GetProbe(),
			Schedule: decodeSchedule(s.GetSchedule()),
			Next:     decodeAssignment(s.GetNext()),
		}
	case *framer.MapMessage_Vote:
		return mapper.Vote{Proposal: decodeAssignment(b.Vote.GetProposal()), Yes: b.Vote.GetYes()}
	case *framer.MapMessage_Query:
		return mapper.Query{Proposal: decodeAssignment(b.Query.GetProposal())}
	case *framer.MapMessage_Record:
		return decodeRecord(b.Record)
	case *framer.MapMessage_Ack:
		return mapper.Ack{Sequence: b.Ack.GetSequence()}
	}
	return nil
}

func decodeRecord(r *framer.MapRecord) mapper.Record {
	return mapper.Record{
		Sequence: r.GetSequence(),
		Schedule: decodeSchedule(r.GetSchedule()),
		Next:     decodeAssignment(r.GetNext()),
		Resolved: mapper.ProposalID{
			Epoch:   carawaybeam.Epoch(r.GetResolvedEpoch()),
			Version: carawaybeam.MapVersion(r.GetResolvedVersion()),
		},
		Stable: r.GetStable(),
	}
}

func decodeSchedule(s *framer.MapSchedule) mapper.Schedule {
	return mapper.Schedule{Previous: decodeAssignment(s.GetPrevious()), Current: decodeAssignment(s.GetCurrent())}
}

func decodeAssignment(a *framer.MapAssignment) mapper.Assignment {
	return mapper.Assignment{
		ID: mapper.ProposalID{
			Epoch:   carawaybeam.Epoch(a.GetEpoch()),
			Version: carawaybeam.MapVersion(a.GetVersion()),
		},
		Step:   carawaybeam.Step(a.GetStep()),
		Digest: mapper.Digest(a.GetDigest()),
	}
}

func decodeProposal(encoded *framer.Propose) Proposal {
	proposal := Proposal{MapAssignment: carawaybeam.MapAssignment{
		ID: carawaybeam.ProposalID{
			Epoch:   carawaybeam.Epoch(encoded.GetEpoch()),
			Version: carawaybeam.MapVersion(encoded.GetMapVersion()),
		},
		Step:   carawaybeam.Step(encoded.GetStep()),
		Digest: carawaybeam.MapDigest(encoded.GetDigest()),
	}}
	for _, layer := range encoded.GetOwn() {
		experts := make([]carawaybeam.Expert, 0, len(layer.GetExperts()))
		for _, expert := range layer.GetExperts() {
			experts = append(experts, carawaybeam.Expert(expert))
		}
		proposal.Experts = append(proposal.Experts, experts)
	}
	return proposal
}

func encodeStatus(s State) *framer.MapStatus {
	return &framer.MapStatus{
		Step:         uint64(s.Step),
		Schedule:     encodeSchedule(s.Schedule),
		Stable:       s.Stable,
		FloorEpoch:   uint64(s.Floor.Epoch),
		FloorVersion: uint64(s.Floor.Version),
	}
}
