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

// record is one record of the config stream.
type record struct {
	Kind     string       `json:"kind"`
	Note     *ReleaseNote `json:"note,omitempty"`
	Snapshot *snapshot    `json:"snapshot,omitempty"`
}

// Record is a record as read from the log.
type Record struct {
	// Offset is the place in the config stream.
	Offset int64
	// Data is the JSON text.
	Data []byte
}

// NewNoteRecord returns the record that publishes a note.
func NewNoteRecord(note ReleaseNote) []byte {
	return mustJSON(record{Kind: recordNote, Note: &note})
}

// NewSnapshotRecord returns the snapshot record of a state, for the log and for peers.
func NewSnapshotRecord(s *State) []byte {
	return mustJSON(record{Kind: recordSnapshot, Snapshot: &snapshot{
		Format: snapshotFormat,
		Digest: s.Digest(),
		State:  bodyOf(s),
	}})
}

// decodeRecord decodes strictly: unknown or repeated keys, wrong types and text after the record are refused.
func decodeRecord(data []byte) (record, string) {
	if reason := strictJSON(data, reflect.TypeFor[record]()); reason != "" {
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

// recordID returns the id of a malformed note where it can be read, so that its author finds the verdict.
func recordID(data []byte) string {
	var loose struct {
		Note struct {
			ID string `json:"id"`
		} `json:"note"`
	}
	_ = json.Unmarshal(data, &loose)
	if !validID(loose.Note.ID) {
		return ""
	}
	return loose.Note.ID
}

// decodeSnapshot decodes a snapshot record and checks its digest.
func decodeSnapshot(data []byte) (*State, error) {
	rec, reason := decodeRecord(data)
	if reason != "" {
		return nil, &SnapshotError{Reason: reason}
	}
	if rec.Kind != recordSnapshot {
		return nil, &SnapshotError{Reason: "the record is no snapshot"}
	}
	return rec.Snapshot.open()
}

// open checks a snapshot and returns its state.
func (s *snapshot) open() (*State, error) {
	if s.Format != snapshotFormat {
		return nil, &SnapshotError{Reason: "unknown format"}
	}
	state, err := stateOf(s.State)
	if err != nil {
		return nil, err
	}
	if state.Digest() != s.Digest {
		return nil, &SnapshotError{Reason: "the digest does not match the content"}
	}
	return state, nil
}
