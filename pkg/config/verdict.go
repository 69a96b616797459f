package config

import "fmt"

// Verdict is the outcome of one record of the config stream. It is the same on every VM.
type Verdict struct {
	// ID is the id of the release note, or empty where the record has none.
	ID string `json:"id"`
	// Offset is the offset of the record that decided. For a second copy of an id it is the offset of the first.
	Offset int64 `json:"offset"`
	// Accepted tells that the note is in force.
	Accepted bool `json:"accepted"`
	// Reason tells why the note was refused, in at most maxReasonBytes bytes of ASCII.
	Reason string `json:"reason,omitempty"`
	// Conflicts names the items that caused the refusal, at most maxConflicts of them.
	Conflicts []Ref `json:"conflicts,omitempty"`
}

// GapError reports that records before Offset are missing, usually because they expired before they were read.
// The caller restores a snapshot and goes on from NextOffset.
type GapError struct {
	// Next is the offset that the replay needs.
	Next int64
	// Offset is the offset that was offered.
	Offset int64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("config: records %d to %d are missing", e.Next, e.Offset-1)
}

// DigestError reports that two VMs hold different states for one offset. It is a broken invariant: the
// process must stop, since it cannot tell which state is right.
type DigestError struct {
	// Next is the next offset of the compared states.
	Next int64
	// Own is the digest of the state held here.
	Own string
	// Other is the digest in the snapshot.
	Other string
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("config: state before offset %d has digest %s, snapshot says %s", e.Next, e.Own, e.Other)
}

// SnapshotError reports a snapshot that cannot be restored.
type SnapshotError struct {
	// Reason tells what is wrong.
	Reason string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return "config: snapshot refused: " + e.Reason
}
