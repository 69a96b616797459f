package config

import (
	"encoding/json"
	"reflect"
)

// Kinds of records on the config stream.
const (
	recordNote     = "note"
	recordSnapshot = "snapshot"
)

// record is the decoded form of one record of the config stream.
type record struct {
	Kind     string       `json:"kind"`
	Note     *ReleaseNote `json:"note,omitempty"`
	Snapshot *snapshot    `json:"snapshot,omitempty"`
}

// Record is an encoded record as read from the log.
type Record struct {
	// Offset is the offset in the config stream.
	Offset int64
	// Data is the JSON encoding.
	Data []byte
}

// NewNoteRecord returns the encoded record that publishes a note.
func NewNoteRecord(note ReleaseNote) []byte {
	return mustJSON(record{Kind: recordNote, Note: &note})
}

// NewSnapshotRecord returns the encoded snapshot record of a state, for the log and for peers.
func NewSnapshotRecord(s *State) []byte {
	return mustJSON(record{Kind: recordSnapshot, Snapshot: &snapshot{
		Format: snapshotFormat,
		Digest: s.Digest(),
		State:  newSnapshotBody(s),
	}})
}

// decodeRecord decodes a record strictly: it refuses unknown or repeated keys, wrong types and text after the record.
// It returns the reason of a refusal, or an empty string.
func decodeRecord(data []byte) (record, string) {
	if reason := validateJSON(data, reflect.TypeFor[record]()); reason != "" {
		return record{}, reason
	}
	var rec record
	if err := json.Unmarshal(data, &rec); err != nil {
		return record{}, "the record has a value out of range"
	}
	switch {
	case rec.Kind == recordNote && rec.Note != nil && rec.Snapshot == nil:
	case rec.Kind == recordSnapshot && rec.Snapshot != nil && rec.Note == nil:
	default:
		return record{}, "the record needs kind note with a note or kind snapshot with a snapshot"
	}
	return rec, ""
}

// malformedNoteID returns the id of a malformed note, or an empty string if it cannot be read. With the id the author
// of the note can look up the verdict.
func malformedNoteID(data []byte) string {
	var partial struct {
		Note struct {
			ID string `json:"id"`
		} `json:"note"`
	}
	_ = json.Unmarshal(data, &partial)
	if !validID(partial.Note.ID) {
		return ""
	}
	return partial.Note.ID
}

// decodeSnapshot decodes a snapshot record and returns its state after checking its digest.
func decodeSnapshot(data []byte) (*State, error) {
	rec, reason := decodeRecord(data)
	if reason != "" {
		return nil, &SnapshotError{Reason: reason}
	}
	if rec.Kind != recordSnapshot {
		return nil, &SnapshotError{Reason: "the record is no snapshot"}
	}
	return rec.Snapshot.verifiedState()
}

// verifiedState returns the state of a snapshot after checking its format and digest.
func (s *snapshot) verifiedState() (*State, error) {
	if s.Format != snapshotFormat {
		return nil, &SnapshotError{Reason: "unknown format"}
	}
	state, err := stateFromBody(s.State)
	if err != nil {
		return nil, err
	}
	if state.Digest() != s.Digest {
		return nil, &SnapshotError{Reason: "the digest does not match the content"}
	}
	return state, nil
}
