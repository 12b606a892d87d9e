// Package cwsession keeps the promise that a session reads its own writes.
//
// A session is a caller's sequence of requests, over any number of connections
// and proxies. What it has seen is a Token: one mark for each group that it
// wrote to. The caller carries the token; no proxy and no table does, so a
// proxy's death loses nothing and the cost does not grow with the sessions.
//
// A connection that brings no token gets a floor all the same: the primary's
// position, asked for after the connection was made. Whatever the session wrote
// and saw acknowledged before is at or below it.
package cwsession

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"
	"strings"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Bounds of what a token may be; it is read from outside.
const (
	// MaxTokenLen is the longest token accepted, in bytes.
	MaxTokenLen = 1024
	// MaxTokenGroups is the largest number of groups in a token.
	MaxTokenGroups = 16
	tokenPrefix    = "cw1."
	checksumLen    = 4
)

// TokenFault says what is wrong with a token.
type TokenFault string

// The faults of a token.
const (
	FaultTooLong   TokenFault = "longer than the bound"
	FaultMalformed TokenFault = "malformed"
	FaultChecksum  TokenFault = "damaged"
	FaultGroups    TokenFault = "names too many groups"
	FaultForeign   TokenFault = "belongs to another service"
	FaultFuture    TokenFault = "is ahead of everything the group has written"
)

// TokenError reports a token that is refused.
type TokenError struct{ Fault TokenFault }

func (e *TokenError) Error() string { return "session token " + string(e.Fault) }

// Token is what a session has seen. It is immutable; the zero Token has seen
// nothing.
type Token struct {
	marks map[string]cwgroup.Mark
}

// Mark returns what the session has seen of the group.
func (t Token) Mark(group string) (cwgroup.Mark, bool) {
	m, ok := t.marks[group]
	return m, ok
}

// Empty reports whether the token has seen nothing.
func (t Token) Empty() bool { return len(t.marks) == 0 }

// WithMark returns a token that has also seen m. A token never goes back: an
// earlier mark changes nothing.
func (t Token) WithMark(group string, m cwgroup.Mark) Token {
	if old, ok := t.marks[group]; ok && old.AtLeast(m) {
		return t
	}
	marks := maps.Clone(t.marks)
	if marks == nil {
		marks = make(map[string]cwgroup.Mark, 1)
	}
	marks[group] = m
	return Token{marks: marks}
}

// Only returns a token without the groups that are not listed, or an error if
// the token names none of them: then it comes from another service.
func (t Token) Only(groups []string) (Token, error) {
	out := Token{}
	for _, g := range groups {
		if m, ok := t.marks[g]; ok {
			out = out.WithMark(g, m)
		}
	}
	if out.Empty() && !t.Empty() {
		return Token{}, &TokenError{Fault: FaultForeign}
	}
	return out, nil
}

// String encodes the token. Callers treat it as opaque.
func (t Token) String() string {
	if t.Empty() {
		return ""
	}
	var body []byte
	for _, g := range slices.Sorted(maps.Keys(t.marks)) {
		m := t.marks[g]
		body = append(body, byte(len(g)))
		body = append(body, g...)
		body = binary.AppendUvarint(body, uint64(m.Term))
		body = binary.AppendUvarint(body, uint64(m.Position))
	}
	sum := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(body))
	return tokenPrefix + base64.RawURLEncoding.EncodeToString(append(sum, body...))
}

// ParseToken reads a token that came from outside. The empty text is the empty
// token.
func ParseToken(s string) (Token, error) {
	if s == "" {
		return Token{}, nil
	}
	if len(s) > MaxTokenLen {
		return Token{}, &TokenError{Fault: FaultTooLong}
	}
	enc, ok := strings.CutPrefix(s, tokenPrefix)
	if !ok {
		return Token{}, &TokenError{Fault: FaultMalformed}
	}
	raw, err := base64.RawURLEncoding.DecodeString(enc)
	if err != nil || len(raw) < checksumLen {
		return Token{}, &TokenError{Fault: FaultMalformed}
	}
	body := raw[checksumLen:]
	if crc32.ChecksumIEEE(body) != binary.BigEndian.Uint32(raw) {
		return Token{}, &TokenError{Fault: FaultChecksum}
	}
	return parseMarks(body)
}

func parseMarks(body []byte) (Token, error) {
	marks := make(map[string]cwgroup.Mark)
	for len(body) > 0 {
		n := int(body[0])
		if n == 0 || len(body) < 1+n {
			return Token{}, &TokenError{Fault: FaultMalformed}
		}
		group := string(body[1 : 1+n])
		body = body[1+n:]
		term, used := binary.Uvarint(body)
		if used <= 0 {
			return Token{}, &TokenError{Fault: FaultMalformed}
		}
		body = body[used:]
		pos, used := binary.Uvarint(body)
		if used <= 0 {
			return Token{}, &TokenError{Fault: FaultMalformed}
		}
		body = body[used:]
		marks[group] = cwgroup.Mark{Term: cwgroup.Term(term), Position: cwgroup.Position(pos)}
		if len(marks) > MaxTokenGroups {
			return Token{}, &TokenError{Fault: FaultGroups}
		}
	}
	if len(marks) == 0 {
		return Token{}, &TokenError{Fault: FaultMalformed}
	}
	return Token{marks: marks}, nil
}

// Floor is the lowest mark that a member must hold to serve a session's reads.
// The zero Floor is not known yet: the primary must be asked first.
type Floor struct {
	Mark  cwgroup.Mark
	Known bool
}

// FloorOf returns the floor that a token gives in a group.
func FloorOf(t Token, group string) Floor {
	m, ok := t.Mark(group)
	return Floor{Mark: m, Known: ok}
}

// CheckTip compares a floor with the primary's mark, asked for after the token
// arrived. A floor beyond it cannot come from this group, and is refused rather
// than waited for: no member would ever reach it.
func (f Floor) CheckTip(tip cwgroup.Mark) error {
	if f.Known && !tip.AtLeast(f.Mark) {
		return &TokenError{Fault: FaultFuture}
	}
	return nil
}

// GoString describes the floor in test failures.
func (f Floor) GoString() string { return fmt.Sprintf("floor(%v %t)", f.Mark, f.Known) }
