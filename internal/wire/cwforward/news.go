package cwforward

import (
	"encoding/json"
	"sync"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwcompress"
)

type newsRequestBody struct {
	// After holds the last known version of each topic, in the order of
	// cwport.Topics.
	After  []cwfeed.Version `json:"after"`
	WaitMS int64            `json:"waitMs,omitempty"`
}

type newsBody struct {
	Topics           []topicBody `json:"topics"`
	HeldUS           int64       `json:"heldUs,omitempty"`
	TargetsAway      bool        `json:"targetsAway,omitempty"`
	TargetsUnsettled bool        `json:"targetsUnsettled,omitempty"`
}

type topicBody struct {
	Version cwfeed.Version `json:"version"`
	Whole   bool           `json:"whole,omitempty"`
	Rows    []rowBody      `json:"rows,omitempty"`
	// Packed holds the rows as compressed JSON, in place of Rows, if there are more
	// than maxPlainRows of them.
	Packed []byte `json:"packed,omitempty"`
	AgeUS  int64  `json:"ageUs"`
}

type rowBody struct {
	Key     string         `json:"key"`
	Value   []byte         `json:"value,omitempty"`
	Version cwfeed.Version `json:"version"`
	Removed bool           `json:"removed,omitempty"`
	Garbled bool           `json:"garbled,omitempty"`
	Packed  []byte         `json:"packed,omitempty"`
}

func encodeNewsRequest(q cwport.ChangesRequest) newsRequestBody {
	return newsRequestBody{After: q.After[:], WaitMS: q.Wait.Milliseconds()}
}

// decodeNewsRequest decodes and validates a request for store changes.
func decodeNewsRequest(params []byte) (cwport.ChangesRequest, error) {
	var b newsRequestBody
	if err := json.Unmarshal(params, &b); err != nil {
		return cwport.ChangesRequest{}, &MalformedMessageError{Reason: err.Error()}
	}
	if len(b.After) != cwport.TopicCount || b.WaitMS < 0 {
		return cwport.ChangesRequest{}, &MalformedMessageError{Reason: "question for news"}
	}
	return cwport.ChangesRequest{After: [cwport.TopicCount]cwfeed.Version(b.After), Wait: time.Duration(b.WaitMS) * time.Millisecond}, nil
}

// newsEncoder encodes answers to requests for store changes. It compresses long lists
// of rows, and caches the result for complete topics.
//
// When a whole data centre starts at once, sixteen instances request all rows of a
// large deployment from the same instance. Uncompressed, that is 1 MB for each of them
// over a link of a few megabytes per second.
type newsEncoder struct {
	mu sync.Mutex
	// completeTopics caches the compressed rows of each topic as they were last sent
	// in full.
	completeTopics [cwport.TopicCount]compressedTopic
}

type compressedTopic struct {
	version cwfeed.Version
	bytes   []byte
}

// maxPlainRows is the largest number of rows of a topic that are sent uncompressed.
const maxPlainRows = 64

// encode returns the message for n.
func (p *newsEncoder) encode(n cwport.ChangesResponse) (newsBody, error) {
	b := newsBody{HeldUS: n.Held.Microseconds(), TargetsAway: n.TargetsUnavailable, TargetsUnsettled: n.TargetsIncomplete}
	for i, t := range n.Topics {
		tb := topicBody{Version: t.Version, Whole: t.Complete, AgeUS: t.Age.Microseconds()}
		if len(t.Rows) > maxPlainRows {
			packed, err := p.compressRows(cwport.Topic(i), t)
			if err != nil {
				return newsBody{}, err
			}
			tb.Packed = packed
		} else {
			tb.Rows = encodeRows(t.Rows)
		}
		b.Topics = append(b.Topics, tb)
	}
	return b, nil
}

func encodeRows(rows []cwport.Row) []rowBody {
	var out []rowBody
	for _, r := range rows {
		out = append(out, rowBody(r))
	}
	return out
}

// compressRows returns the compressed rows of a topic. The rows of a complete topic are
// compressed once for each version, for all instances that request them.
func (p *newsEncoder) compressRows(topic cwport.Topic, t cwport.TopicChanges) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := &p.completeTopics[topic]
	if t.Complete && kept.bytes != nil && kept.version == t.Version {
		return kept.bytes, nil
	}
	text, err := json.Marshal(encodeRows(t.Rows))
	if err != nil {
		return nil, err
	}
	packed, err := cwcompress.Compress(text)
	if err == nil && t.Complete {
		*kept = compressedTopic{version: t.Version, bytes: packed}
	}
	return packed, err
}

// decode validates and converts an answer. A negative age or hold time would make data
// look newer than it is, so the whole answer is rejected.
func (b newsBody) decode() (cwport.ChangesResponse, error) {
	if len(b.Topics) != cwport.TopicCount || b.HeldUS < 0 {
		return cwport.ChangesResponse{}, &MalformedMessageError{Reason: "news: wrong number of topics or negative hold time"}
	}
	n := cwport.ChangesResponse{Held: microseconds(b.HeldUS), TargetsUnavailable: b.TargetsAway, TargetsIncomplete: b.TargetsUnsettled}
	for i, tb := range b.Topics {
		if tb.AgeUS < 0 {
			return cwport.ChangesResponse{}, &MalformedMessageError{Reason: "news: negative age of a topic"}
		}
		t := cwport.TopicChanges{Version: tb.Version, Complete: tb.Whole, Age: microseconds(tb.AgeUS)}
		rows, err := tb.decodeRows()
		if err != nil {
			return cwport.ChangesResponse{}, err
		}
		for _, r := range rows {
			row, err := r.decode()
			if err != nil {
				return cwport.ChangesResponse{}, err
			}
			t.Rows = append(t.Rows, row)
		}
		n.Topics[i] = t
	}
	return n, nil
}

// decodeRows returns the rows of a topic and decompresses them if necessary.
func (b topicBody) decodeRows() ([]rowBody, error) {
	if len(b.Packed) == 0 {
		return b.Rows, nil
	}
	text, err := cwcompress.Decompress(b.Packed)
	if err != nil {
		return nil, &MalformedMessageError{Reason: "packed rows: " + err.Error()}
	}
	var rows []rowBody
	if err := json.Unmarshal(text, &rows); err != nil {
		return nil, &MalformedMessageError{Reason: "packed rows: " + err.Error()}
	}
	return rows, nil
}

func (b rowBody) decode() (cwport.Row, error) {
	r := cwport.Row(b)
	if len(r.Packed) == 0 {
		return r, nil
	}
	value, err := cwcompress.Decompress(r.Packed)
	if err != nil {
		return cwport.Row{}, &MalformedMessageError{Reason: "packed row " + r.Key + ": " + err.Error()}
	}
	r.Value = value
	return r, nil
}
