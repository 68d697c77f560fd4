package standin

import (
	"context"
	"sync"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Objects is an in-memory object store.
type Objects struct {
	mu   sync.Mutex
	data map[string][]byte
	down bool
}

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{data: make(map[string][]byte)} }

// SetDown makes every operation fail while down is true.
func (o *Objects) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

func (o *Objects) checkUp() error {
	if o.down {
		return errkind.New(errkind.StoreUnavailable, "object store is down")
	}
	return nil
}

// Put implements store.Objects.
func (o *Objects) Put(_ context.Context, key string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkUp(); err != nil {
		return err
	}
	if _, ok := o.data[key]; ok {
		return errkind.New(errkind.AlreadyExists, "object %s exists", key)
	}
	o.data[key] = append([]byte(nil), data...)
	return nil
}

// Get implements store.Objects.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkUp(); err != nil {
		return nil, err
	}
	d, ok := o.data[key]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "object %s", key)
	}
	return d, nil
}

// Delete implements store.Objects.
func (o *Objects) Delete(_ context.Context, key string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkUp(); err != nil {
		return err
	}
	delete(o.data, key)
	return nil
}
