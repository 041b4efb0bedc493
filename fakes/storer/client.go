package storer

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/erakeeper"
)

// Client is the client of a process, which keeps the newest era that it has seen.
type Client struct {
	storer *Storer
	eras   *erakeeper.EraKeeper
}

var _ carawaybeam.Store = (*Client)(nil)

// NewClient returns a client that has not seen an era yet.
func (s *Storer) NewClient(log zerolog.Logger) *Client {
	return &Client{storer: s, eras: erakeeper.New(log)}
}

// admit admits an answer: a version, or an error with its era.
func (c *Client) admit(version carawaybeam.StoreVersion, err error) error {
	era := version.Era()
	if failed := new(carawaybeam.StoreError); errors.As(err, &failed) {
		era = failed.Era
		if failed.Failure == carawaybeam.StoreUncertain || failed.Failure == carawaybeam.StoreUnavailable {
			return err // There was no answer.
		}
	}
	if ignored := c.eras.Admit(era); ignored != nil {
		return ignored
	}
	return err
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind carawaybeam.StoreKind, name string) (carawaybeam.Object, error) {
	object, err := c.storer.Get(ctx, kind, name)
	if err := c.admit(object.Version, err); err != nil {
		return carawaybeam.Object{}, err
	}
	return object, nil
}

// List returns all objects of a kind and the version of the store.
func (c *Client) List(
	ctx context.Context,
	kind carawaybeam.StoreKind,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	objects, version, err := c.storer.List(ctx, kind)
	if err := c.admit(version, err); err != nil {
		return nil, 0, err
	}
	return objects, version, nil
}

// Put writes an object if its version is expect.
func (c *Client) Put(
	ctx context.Context,
	object carawaybeam.Object,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	return c.write(expect, func() (carawaybeam.StoreVersion, error) { return c.storer.Put(ctx, object, expect) })
}

// Delete removes an object if its version is expect.
func (c *Client) Delete(
	ctx context.Context,
	kind carawaybeam.StoreKind,
	name string,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	return c.write(expect, func() (carawaybeam.StoreVersion, error) {
		return c.storer.Delete(ctx, kind, name, expect)
	})
}

func (c *Client) write(
	expect carawaybeam.StoreVersion,
	send func() (carawaybeam.StoreVersion, error),
) (carawaybeam.StoreVersion, error) {
	return c.eras.GuardWrite(expect, func() (carawaybeam.StoreVersion, error) {
		version, err := send()
		if ignored := c.admit(version, err); ignored != nil && err == nil {
			return 0, &carawaybeam.StoreError{Failure: carawaybeam.StoreUncertain, Detail: ignored.Error()}
		}
		return version, err
	})
}

// Watch returns the changes of the given kinds after version since.
func (c *Client) Watch(
	ctx context.Context,
	kinds []carawaybeam.StoreKind,
	since carawaybeam.StoreVersion,
	wait time.Duration,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	var (
		objects []carawaybeam.Object
		version carawaybeam.StoreVersion
	)
	err := c.eras.GuardWatch(ctx, since, func(ctx context.Context) error {
		var err error
		objects, version, err = c.storer.Watch(ctx, kinds, since, wait)
		return c.admit(version, err)
	})
	if err != nil {
		return nil, 0, err
	}
	return objects, version, nil
}
