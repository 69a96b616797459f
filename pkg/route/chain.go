// Package route chooses the model engine for each request.
//
// A prompt is split into blocks whose hashes form a chain, so that one hash identifies a whole prefix. A Placer
// predicts the time to first token (TTFT) on every candidate endpoint and chooses the lowest. The package does no
// I/O: time, seeds and observations are arguments.
package route

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Message is one entry of a chat prompt.
type Message struct {
	// Role is the author of the message, such as system or user.
	Role string
	// Content is the text of the message.
	Content string
}

// Bytes of the canonical prompt encoding. A NUL byte in the text is escaped, so that no text can imitate the end
// of a field.
const (
	escapeByte      = 0x00
	escapedFieldEnd = 0x00
	escapedNUL      = 0x01
)

// EncodePrompt returns the canonical encoding of a prompt. Different message lists have different encodings. Lengths
// are not written in front of the text, so prompts with a common beginning have encodings with a common beginning,
// even when they first differ inside a message.
func EncodePrompt(messages []Message) []byte {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 4
	}
	out := make([]byte, 0, size)
	for _, m := range messages {
		out = appendField(out, m.Role)
		out = appendField(out, m.Content)
	}
	return out
}

// appendField appends the escaped text and an end-of-field marker.
func appendField(out []byte, text string) []byte {
	for i := 0; i < len(text); i++ {
		out = append(out, text[i])
		if text[i] == escapeByte {
			out = append(out, escapedNUL)
		}
	}
	return append(out, escapeByte, escapedFieldEnd)
}

// HashSeed returns the start value of the hash chain. Prompts share hashes only when all four names are equal, so equal
// text of two workspaces, models, adapters or weight versions never shares cached blocks.
func HashSeed(workspace, model, adapter, version string) uint64 {
	names := [...]string{workspace, model, adapter, version}
	var data []byte
	for _, name := range names {
		data = binary.AppendUvarint(data, uint64(len(name)))
		data = append(data, name...)
	}
	return xxh3.Hash(data)
}

// BlockHashes returns one hash per complete block of blockBytes bytes. The hash of a block depends on the seed and on
// all blocks before it, so an equal hash means an equal prefix. An incomplete last block has no hash. The result is
// nil when blockBytes is not positive.
func BlockHashes(seed uint64, prompt []byte, blockBytes int) []uint64 {
	if blockBytes <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	previous := seed
	for len(prompt) >= blockBytes {
		previous = xxh3.HashSeed(prompt[:blockBytes], previous)
		hashes = append(hashes, previous)
		prompt = prompt[blockBytes:]
	}
	return hashes
}
