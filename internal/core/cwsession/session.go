// Package cwsession implements the read-your-writes guarantee of sessions.
//
// A session is a sequence of requests by one caller, over any number of
// connections and proxies. What it has seen is recorded in a Token, which has one
// log position (a cwgroup.LogPosition) for each group that the session wrote to. The
// caller stores the token and sends it along; no proxy and no table stores it, so
// the loss of a proxy loses nothing and the cost does not grow with the number of
// sessions.
//
// A Floor is the log position that a member must have applied to serve a session's
// reads of a group. It comes from the token. A connection without a token gets a
// floor too: the primary's position, requested after the connection was made. Every
// write that the session had seen acknowledged before is at or below it.
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

// Bounds of a token. Tokens come from callers and are not trusted.
const (
	// MaxTokenLen is the longest token accepted, in bytes.
	MaxTokenLen = 1024
	// MaxTokenGroups is the largest number of groups in a token.
	MaxTokenGroups = 16
	tokenPrefix    = "cw1."
	checksumLen    = 4
)

// TokenFault is the reason for which a token is rejected.
type TokenFault string

// The reasons for which a token is rejected.
const (
	FaultTooLong      TokenFault = "longer than the bound"
	FaultMalformed    TokenFault = "malformed"
	FaultChecksum     TokenFault = "damaged"
	FaultGroups       TokenFault = "names too many groups"
	FaultOtherService TokenFault = "belongs to another service"
	FaultAheadOfGroup TokenFault = "is ahead of everything the group has written"
)

// TokenError reports a rejected token.
type TokenError struct{ Fault TokenFault }

func (e *TokenError) Error() string { return "session token " + string(e.Fault) }

// Token holds the newest log position that a session has seen in each group. It is
// immutable. The zero Token is empty.
type Token struct {
	positions map[string]cwgroup.LogPosition
}

// Position returns the newest log position that the session has seen in the group. The
// second result is false if there is none.
func (t Token) Position(group string) (cwgroup.LogPosition, bool) {
	m, ok := t.positions[group]
	return m, ok
}

// Empty reports whether the token has no positions.
func (t Token) Empty() bool { return len(t.positions) == 0 }

// WithPosition returns a token whose position in the group is at least m. A position
// never decreases: if the token already has a later one, it is returned unchanged.
func (t Token) WithPosition(group string, m cwgroup.LogPosition) Token {
	if old, ok := t.positions[group]; ok && old.AtLeast(m) {
		return t
	}
	positions := maps.Clone(t.positions)
	if positions == nil {
		positions = make(map[string]cwgroup.LogPosition, 1)
	}
	positions[group] = m
	return Token{positions: positions}
}

// ForGroups returns a token with the positions of the listed groups only. If the
// token is not empty and has none of these groups, it belongs to another service,
// and ForGroups returns a *TokenError with FaultOtherService.
func (t Token) ForGroups(groups []string) (Token, error) {
	out := Token{}
	for _, g := range groups {
		if m, ok := t.positions[g]; ok {
			out = out.WithPosition(g, m)
		}
	}
	if out.Empty() && !t.Empty() {
		return Token{}, &TokenError{Fault: FaultOtherService}
	}
	return out, nil
}

// String encodes the token in the form that ParseToken reads. It is empty for an
// empty token. Callers treat the encoding as opaque.
func (t Token) String() string {
	if t.Empty() {
		return ""
	}
	var body []byte
	for _, g := range slices.Sorted(maps.Keys(t.positions)) {
		m := t.positions[g]
		body = append(body, byte(len(g)))
		body = append(body, g...)
		body = binary.AppendUvarint(body, uint64(m.Term))
		body = binary.AppendUvarint(body, uint64(m.Index))
	}
	sum := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(body))
	return tokenPrefix + base64.RawURLEncoding.EncodeToString(append(sum, body...))
}

// ParseToken decodes a token that a caller sent. The empty string is the empty
// token. Any error is a *TokenError.
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
	return parsePositions(body)
}

// parsePositions decodes the body of a token. Each position is encoded as the
// length of the group's name in one byte, the name, and the term and the index as
// unsigned varints.
func parsePositions(body []byte) (Token, error) {
	positions := make(map[string]cwgroup.LogPosition)
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
		index, used := binary.Uvarint(body)
		if used <= 0 {
			return Token{}, &TokenError{Fault: FaultMalformed}
		}
		body = body[used:]
		positions[group] = cwgroup.LogPosition{Term: cwgroup.Term(term), Index: cwgroup.LogIndex(index)}
		if len(positions) > MaxTokenGroups {
			return Token{}, &TokenError{Fault: FaultGroups}
		}
	}
	if len(positions) == 0 {
		return Token{}, &TokenError{Fault: FaultMalformed}
	}
	return Token{positions: positions}, nil
}

// Floor is the log position that a member must have applied to serve a session's
// reads. While Known is false, as in the zero Floor, the primary must be asked for
// its position first.
type Floor struct {
	Position cwgroup.LogPosition
	Known    bool
}

// FloorOf returns the floor of a group according to a token. It is not known if the
// token has no position for the group.
func FloorOf(t Token, group string) Floor {
	m, ok := t.Position(group)
	return Floor{Position: m, Known: ok}
}

// CheckPrimary compares a floor with tip, the position at which the primary's log
// ended when it was asked after the token arrived. A floor beyond tip cannot come
// from this group. It is rejected with a *TokenError instead of waited for, because
// no member would ever reach it.
func (f Floor) CheckPrimary(tip cwgroup.LogPosition) error {
	if f.Known && !tip.AtLeast(f.Position) {
		return &TokenError{Fault: FaultAheadOfGroup}
	}
	return nil
}

// GoString formats the floor for test failures.
func (f Floor) GoString() string { return fmt.Sprintf("floor(%v %t)", f.Position, f.Known) }
