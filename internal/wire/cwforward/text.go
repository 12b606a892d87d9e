package cwforward

import (
	"encoding/base64"
	"unicode/utf8"
)

// textEncoding is how a body carries the texts of callers and targets.
//
// The protocols set no encoding for texts, but a JSON string holds UTF-8 only, and its
// encoder replaces other bytes: a target would run a statement that the caller did not
// send. A body with such a text carries all of its texts in base64, and the word that tells
// an instance what to do with it as well, so that an instance without this encoding refuses
// the body. Long texts are carried in base64 too: escapes make a JSON string up to six times
// as long, and a message of more than maxMessage ends the connection for all others on it.
type textEncoding string

// The encodings.
const (
	encodingPlain  textEncoding = ""
	encodingBase64 textEncoding = "base64"
)

// maxPlainText is the greatest length in bytes of all texts of a plain body together.
const maxPlainText = 4 << 10

// encodingFor returns the encoding that carries all of the texts.
func encodingFor(texts ...string) textEncoding {
	length := 0
	for _, s := range texts {
		length += len(s)
		if length > maxPlainText || !utf8.ValidString(s) {
			return encodingBase64
		}
	}
	return encodingPlain
}

// maxLength returns an upper bound for the length of a text in a body, quotes included.
func (e textEncoding) maxLength(s string) int {
	// maxEscape is the length of the longest escape of a byte in a JSON string.
	const maxEscape = len(`\u0000`)
	if e == encodingPlain {
		return maxEscape*len(s) + len(`"":,`)
	}
	return base64.StdEncoding.EncodedLen(len(s)) + len(`"":,`)
}

func (e textEncoding) encode(s string) string {
	if e == encodingPlain {
		return s
	}
	return base64.StdEncoding.EncodeToString([]byte(s))
}

func (e textEncoding) encodeAll(list []string) []string {
	if e == encodingPlain {
		return list
	}
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = e.encode(s)
	}
	return out
}

func (e textEncoding) encodeMap(m map[string]string) map[string]string {
	if e == encodingPlain {
		return m
	}
	out := make(map[string]string, len(m))
	for k, v := range m {
		out[e.encode(k)] = e.encode(v)
	}
	return out
}

// textDecoder decodes the texts of one body. err is the first error.
type textDecoder struct {
	encoding textEncoding
	err      error
}

func (d *textDecoder) decode(s string) string {
	switch d.encoding {
	case encodingPlain:
		return s
	case encodingBase64:
		b, err := base64.StdEncoding.DecodeString(s)
		if err != nil {
			d.fail(err.Error())
		}
		return string(b)
	}
	d.fail("encoding " + string(d.encoding))
	return ""
}

func (d *textDecoder) decodeAll(list []string) []string {
	if d.encoding == encodingPlain {
		return list
	}
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = d.decode(s)
	}
	return out
}

func (d *textDecoder) decodeMap(m map[string]string) map[string]string {
	if d.encoding == encodingPlain {
		return m
	}
	out := make(map[string]string, len(m))
	for k, v := range m {
		out[d.decode(k)] = d.decode(v)
	}
	return out
}

func (d *textDecoder) fail(reason string) {
	if d.err == nil {
		d.err = &MalformedMessageError{Reason: reason}
	}
}
