package direct

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// dumpState returns the metrics and the contents of all fields of a state, to find out whether anything has changed.
// Interfaces, functions and channels are left out.
func dumpState(st *state) string {
	var b strings.Builder
	st.metrics.Write(&b)
	d := dumper{seen: map[uintptr]bool{}}
	d.dump(&b, reflect.ValueOf(st).Elem())
	return b.String()
}

type dumper struct{ seen map[uintptr]bool }

func (d dumper) dump(b *strings.Builder, v reflect.Value) {
	//nolint:exhaustive // The kinds that are not listed are printed.
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || d.seen[v.Pointer()] {
			b.WriteString("pointer;")
			return
		}
		d.seen[v.Pointer()] = true
		d.dump(b, v.Elem())
	case reflect.Struct:
		d.dumpStruct(b, v)
	case reflect.Map:
		d.dumpMap(b, v)
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(b, "%d[", v.Len())
		for i := range v.Len() {
			d.dump(b, v.Index(i))
		}
		b.WriteString("]")
	case reflect.Interface, reflect.Func, reflect.Chan, reflect.UnsafePointer:
	default:
		fmt.Fprintf(b, "%v;", v)
	}
}

func (d dumper) dumpStruct(b *strings.Builder, v reflect.Value) {
	b.WriteString("{")
	for i := range v.NumField() {
		// The registry's contents are in the output of the metrics. A lock, the log, a time zone and the time of the next search for
		// expired reports do not affect requests.
		switch f := v.Type().Field(i); f.Name {
		case "metrics", "mu", "log", "loc", "nextExpiry":
		default:
			b.WriteString(f.Name + ":")
			d.dump(b, v.Field(i))
		}
	}
	b.WriteString("}")
}

func (d dumper) dumpMap(b *strings.Builder, v reflect.Value) {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(x, y reflect.Value) int { return cmp.Compare(fmt.Sprint(x), fmt.Sprint(y)) })
	fmt.Fprintf(b, "%d(", len(keys))
	for _, k := range keys {
		fmt.Fprintf(b, "%v=", k)
		d.dump(b, v.MapIndex(k))
	}
	b.WriteString(")")
}
