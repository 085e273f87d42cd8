package store

import (
	"context"

	"godwitlock.example/godwitlock/topo"
)

// Scanner is implemented by stores that pass on the objects of a list while they read it.
// Other programs may write objects, so a list can be longer than the memory of its reader.
type Scanner interface {
	// Scan calls visit with each object whose key begins with prefix, in key order, and
	// returns the revision of the list. visit must not keep the object's value. It
	// returns how many bytes its caller keeps of the object; Scan fails if these add up
	// to more than the memory allows.
	Scan(ctx context.Context, prefix string, visit func(Object) (kept int)) (topo.Revision, error)
}

// Scan is Scanner.Scan for any store. One that is no Scanner is listed as a whole.
func Scan(ctx context.Context, o Objects, prefix string, visit func(Object) (kept int)) (topo.Revision, error) {
	if s, ok := o.(Scanner); ok {
		return s.Scan(ctx, prefix, visit)
	}
	l, err := o.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	for _, object := range l.Objects {
		visit(object)
	}
	return l.Revision, nil
}
