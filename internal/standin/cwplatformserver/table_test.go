package cwplatformserver

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// countingTransport counts the bytes of response bodies.
type countingTransport struct{ bodyBytes int64 }

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && resp.ContentLength > 0 {
		c.bodyBytes += resp.ContentLength
	}
	return resp, err
}

func startPlatform(c *qt.C) (*Platform, *cwplatform.Client, *countingTransport) {
	p, err := Start("127.0.0.1:0", 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Stop)
	rt := &countingTransport{}
	return p, &cwplatform.Client{URL: p.URL(), HTTP: &http.Client{Transport: rt}}, rt
}

func TestConditionalCommit(t *testing.T) {
	c := qt.New(t)
	p, client, _ := startPlatform(c)
	ctx := context.Background()
	put := func(tag, value string) error {
		return client.Commit(ctx, cwplatform.Change{
			Expect: []cwplatform.Condition{{Key: "a/b", ETag: tag}},
			Put:    []cwplatform.RowWrite{{Key: "a/b", Value: []byte(value)}, {Key: "a/c", Value: []byte(value)}},
		})
	}
	c.Assert(put("", "1"), qt.IsNil)
	var conflict *cwplatform.ConflictError
	c.Assert(put("", "2"), qt.ErrorAs, &conflict)
	row, err := client.Get(ctx, "a/b")
	c.Assert(err, qt.IsNil)
	c.Assert(string(row.Value), qt.Equals, "1")
	c.Assert(put(row.ETag, "3"), qt.IsNil)
	rows, err := client.List(ctx, "a/")
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 2)
	c.Assert(string(rows[1].Value), qt.Equals, "3")

	p.SetFaults(Faults{LoseCommitAnswers: 1})
	var unknown *cwplatform.UnknownError
	c.Assert(put(rows[0].ETag, "4"), qt.ErrorAs, &unknown)
	p.SetFaults(Faults{Down: true})
	var away *cwplatform.UnavailableError
	c.Assert(put("", "5"), qt.ErrorAs, &away)
	p.Stop()
	// A request that fails on an open connection may have reached the platform. A
	// refused new connection proves that it did not.
	http.DefaultClient.CloseIdleConnections()
	c.Assert(put("", "5"), qt.ErrorAs, &away)
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	p, client, rt := startPlatform(c)
	ctx := context.Background()
	p.SetInstances([]cwplatform.InstanceBody{{ID: "entry-1", State: "live"}})
	for range 3 {
		list, err := client.Instances(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(list, qt.HasLen, 1)
	}
	once := rt.bodyBytes
	c.Assert(once > 0 && once < 100, qt.IsTrue, qt.Commentf("%d", once))
	p.SetInstances([]cwplatform.InstanceBody{{ID: "entry-1", State: "live"}, {ID: "entry-2", State: "leaving"}})
	list, err := client.Instances(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 2)
	c.Assert(list[1].State, qt.Equals, cwplatform.InstanceLeaving)
}

func TestObjectsAreWrittenOnce(t *testing.T) {
	c := qt.New(t)
	_, client, _ := startPlatform(c)
	ctx := context.Background()
	_, err := client.GetObject(ctx, "a/b")
	var absent *cwplatform.NotFoundError
	c.Assert(err, qt.ErrorAs, &absent)
	c.Assert(client.PutObject(ctx, "a/b", []byte("1")), qt.IsNil)
	c.Assert(client.PutObject(ctx, "a/b", []byte("2")), qt.IsNil)
	value, err := client.GetObject(ctx, "a/b")
	c.Assert(err, qt.IsNil)
	c.Assert(string(value), qt.Equals, "1")
}
