package bytebudget_test

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"cicadabeam/core/bytebudget"
)

const limit = 1 << 20

// Guards against holders that take what others need: the one that holds most gives way.
func TestLargestHolderGivesWay(t *testing.T) {
	b := bytebudget.New(limit)
	evicted := 0
	large := b.Hold("large", func() { evicted++ })
	small := b.Hold("small", func() { t.Error("the smaller holder was evicted") })
	for large.Take(50<<10) == nil {
	}
	if got := b.Held(); got > limit*3/4 {
		t.Errorf("large holders got %d bytes, want a quarter of %d left to others", got, limit)
	}
	for range 8 {
		if err := small.Take(40 << 10); err != nil {
			t.Fatalf("small holder: %v", err)
		}
	}
	if evicted != 1 || !errors.Is(large.Take(1), bytebudget.ErrSpent) || !large.Refused().Evicted {
		t.Errorf("the largest holder was evicted %d times, want once", evicted)
	}
	large.Release()
	small.Release()
	if got := b.Held(); got != 0 {
		t.Errorf("%d bytes are held after all were released", got)
	}
}

// Guards against small requests that find no room, and against kept buffers that are evicted.
func TestFloorIsGrantedWhenBudgetIsSpent(t *testing.T) {
	b := bytebudget.New(limit)
	for range 40 {
		kept := b.Hold("body", func() { t.Error("a kept holder was evicted") })
		if kept.Keep() != nil {
			t.Fatal("a new holder can't be kept")
		}
		_ = kept.Take(60 << 10)
	}
	if err := b.Hold("head", nil).Take(8 << 10); err != nil {
		t.Errorf("8 KiB for a new holder: %v", err)
	}
	if h := b.Hold("head", nil); h.HasRoom(100<<10) || !errors.Is(h.Take(100<<10), bytebudget.ErrSpent) {
		t.Error("a new holder got 100 KiB of a budget that is spent")
	}
}

// Guards against a sum that exceeds the limit while many holders grow and are slow to give way.
func TestSumStaysWithinLimit(t *testing.T) {
	b := bytebudget.New(limit)
	var g sync.WaitGroup
	var most atomic.Int64
	for range 50 {
		g.Go(func() {
			for range 200 {
				h := b.Hold("response", func() {})
				for i := 0; i < 20 && h.Take(10<<10) == nil; i++ {
					most.Store(max(most.Load(), b.Held()))
				}
				h.Release()
			}
		})
	}
	g.Wait()
	if got := most.Load(); got > limit*5/4+50*8<<10 {
		t.Errorf("%d bytes were held, limit %d", got, limit)
	}
	if got := b.Held(); got != 0 {
		t.Errorf("%d bytes are held after all were released", got)
	}
}

func TestReadAllTakesWhatItsBufferHas(t *testing.T) {
	text := bytes.Repeat([]byte("x"), 100_000)
	for _, size := range []int64{-1, 0, 10, 100_000, 1 << 40} {
		b := bytebudget.New(limit)
		h := b.Hold("response", nil)
		got, err := bytebudget.ReadAll(iotest.HalfReader(bytes.NewReader(text)), 1<<20, size, h)
		if err != nil || !bytes.Equal(got, text) || b.Held() != int64(cap(got)) {
			t.Errorf("size %d: got %d bytes, error %v, %d held, capacity %d", size, len(got), err, b.Held(), cap(got))
		}
		got, err = bytebudget.ReadAll(bytes.NewReader(text), 1000, size, nil)
		if err != nil || len(got) != 1000 {
			t.Errorf("size %d: got %d bytes, error %v, want the limit of 1000", size, len(got), err)
		}
	}
	h := bytebudget.New(50_000).Hold("response", nil)
	got, err := bytebudget.ReadAll(bytes.NewReader(text), 1<<20, -1, h)
	if !errors.Is(err, bytebudget.ErrSpent) || !bytes.Equal(got, text[:len(got)]) || len(got) == 0 {
		t.Errorf("got %d bytes, error %v, want ErrSpent", len(got), err)
	}
	if _, err := bytebudget.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 10, -1, nil); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v, want io.ErrUnexpectedEOF", err)
	}
}

// Guards against ordinary bodies that are refused because the buffers they are copied from count as theirs.
func TestBuffersThatAreReplacedLeaveHoldersSmall(t *testing.T) {
	b := bytebudget.New(600 << 10)
	var holders []*bytebudget.Holder
	for range 6 {
		h := b.Hold("request body", nil)
		if err := h.Take(32 << 10); err != nil {
			t.Fatalf("32 KiB: %v", err)
		}
		holders = append(holders, h)
	}
	for i, h := range holders {
		if err := h.Replace(32<<10, 60_000); err != nil {
			t.Errorf("60,000 bytes for the buffer of holder %d: %v", i, err)
		}
	}
	for _, h := range holders {
		h.Give(32 << 10)
	}
	if got := b.Held(); got != 360_000 {
		t.Errorf("%d bytes are held, want 360,000", got)
	}
}
