package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// maxMessage is the longest message in bytes.
const maxMessage = 1 << 20

var errTooLong = errors.New("the message is too long")

// readMessage returns the next message without its end, which is CR LF. A line feed
// without a carriage return belongs to the message.
func readMessage(r *bufio.Reader) (string, error) {
	var b []byte
	for {
		part, err := r.ReadBytes('\n')
		b = append(b, part...)
		if err != nil {
			return "", err
		}
		if rest, ok := bytes.CutSuffix(b, []byte("\r\n")); ok {
			return string(rest), nil
		}
		if len(b) > maxMessage {
			return "", errTooLong
		}
	}
}

// reply is the answer to a query.
type reply struct {
	rows []string
	// proof is that of a success, "-" if there is none. code and text are those of an
	// error; code is empty for a success.
	proof      string
	code, text string
	state      string
}

// acknowledged reports whether the reply is a success with a database's proof.
func (r reply) acknowledged() bool { return r.code == "" && r.proof != "" && r.proof != "-" }

func (r reply) String() string {
	if r.code != "" {
		return fmt.Sprintf("ERROR %s %s, state %s", r.code, r.text, r.state)
	}
	return fmt.Sprintf("%q COMPLETE %s, state %s", r.rows, r.proof, r.state)
}

// readReply reads the answer to a query.
func readReply(r *bufio.Reader) (reply, error) {
	var out reply
	for {
		m, err := readMessage(r)
		if err != nil {
			return out, err
		}
		word, rest, _ := strings.Cut(m, " ")
		switch word {
		case "ROW":
			out.rows = append(out.rows, rest)
		case "COMPLETE":
			out.proof = rest
		case "ERROR":
			out.code, out.text, _ = strings.Cut(rest, " ")
		case "READY":
			out.state, _, _ = strings.Cut(rest, " ")
			return out, nil
		default:
			return out, fmt.Errorf("unknown message %q", m)
		}
	}
}
