package config

import "fmt"

// Verdict is the outcome of one record of the config stream. It is the same on every VM, including the text of Reason,
// because verdicts with an ID are part of the state digest.
type Verdict struct {
	// ID is the id of the release note, or empty if the record has none.
	ID string `json:"id"`
	// Offset is the offset of the record that the verdict was made on. For a second copy of an id it is the offset of
	// the first.
	Offset int64 `json:"offset"`
	// Accepted reports whether the record was accepted.
	Accepted bool `json:"accepted"`
	// Reason explains a refusal in at most maxReasonBytes bytes of ASCII.
	Reason string `json:"reason,omitempty"`
	// Conflicts lists the items that caused the refusal, at most maxConflicts of them.
	Conflicts []Ref `json:"conflicts,omitempty"`
}

// GapError reports that records before Offset are missing, usually because they expired before they were read. The
// caller must restore a snapshot and continue from NextOffset.
type GapError struct {
	// Next is the offset of the next record to apply.
	Next int64
	// Offset is the offset of the record that was passed to Apply.
	Offset int64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("config: records %d to %d are missing", e.Next, e.Offset-1)
}

// DigestError reports that two VMs hold different states for one offset, which breaks an invariant of the replay. The
// process must stop, because it cannot determine which state is right.
type DigestError struct {
	// Next is the next offset of both states.
	Next int64
	// Own is the digest of the local state.
	Own string
	// Other is the digest of the snapshot.
	Other string
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("config: state before offset %d has digest %s, the snapshot has %s", e.Next, e.Own, e.Other)
}

// SnapshotError reports a snapshot that cannot be restored.
type SnapshotError struct {
	// Reason explains why the snapshot was refused.
	Reason string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return "config: snapshot refused: " + e.Reason
}
