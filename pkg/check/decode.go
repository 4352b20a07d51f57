package check

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxFindings bounds the findings about one text.
const maxFindings = 100

// maxDepth bounds the nesting of a text.
const maxDepth = 32

// Tree is a decoded YAML text that still knows the place of each value.
type Tree struct {
	List
	places map[string]*yaml.Node
	faulty map[string]bool // paths that have a finding of form
}

// Decode reads one YAML document into the struct that out points to. Unknown
// and repeated keys, values of the wrong type, aliases and further documents
// become findings. The values are named by paths such as "calls[2].urgency".
func Decode(file string, text []byte, out any) *Tree {
	t := &Tree{List: List{File: file}, places: map[string]*yaml.Node{}, faulty: map[string]bool{}}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var root yaml.Node
	if err := decoder.Decode(&root); err != nil {
		t.syntax(err)
		return t
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		t.Addf(1, 1, "more than one document")
	}
	if root.Kind != yaml.DocumentNode || len(root.Content) != 1 {
		t.Addf(1, 1, "no document")
		return t
	}
	t.walk(root.Content[0], reflect.ValueOf(out).Elem(), "", 0)
	return t
}

// At adds a finding at the value named by path, or at the nearest value that
// encloses it. A value that could not be decoded has its finding already.
func (t *Tree) At(path, format string, args ...any) {
	if !t.faulty[path] {
		t.add(path, format, args...)
	}
}

// form adds a finding at a value that cannot be decoded.
func (t *Tree) form(path, format string, args ...any) {
	t.faulty[path] = true
	t.add(path, format, args...)
}

func (t *Tree) add(path, format string, args ...any) {
	line, column := 1, 1
	for p := path; ; p = parent(p) {
		if n, ok := t.places[p]; ok {
			line, column = n.Line, n.Column
			break
		}
		if p == "" {
			break
		}
	}
	text := fmt.Sprintf(format, args...)
	if path != "" {
		text = path + ": " + text
	}
	t.Addf(line, column, "%s", text)
}

func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func (t *Tree) syntax(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 1
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		number, message, found := strings.Cut(rest, ": ")
		if n, err := strconv.Atoi(number); found && err == nil {
			line, text = n, message
		}
	}
	t.Addf(line, 1, "%s", text)
}

func (t *Tree) walk(n *yaml.Node, v reflect.Value, path string, depth int) {
	if len(t.findings) >= maxFindings {
		return
	}
	t.places[path] = n
	switch {
	case depth > maxDepth:
		t.form(path, "nested too deeply")
	case n.Kind == yaml.AliasNode:
		t.form(path, "aliases are not allowed")
	case v.Kind() == reflect.Struct && !scalar(v):
		t.walkStruct(n, v, path, depth)
	case v.Kind() == reflect.Slice:
		t.walkSlice(n, v, path, depth)
	default:
		t.walkScalar(n, v, path)
	}
}

// scalar tells whether a struct decodes itself from text, as netip.Addr does.
func scalar(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(interface{ UnmarshalText(text []byte) error })
	return ok
}

func (t *Tree) walkStruct(n *yaml.Node, v reflect.Value, path string, depth int) {
	if n.Kind != yaml.MappingNode {
		t.form(path, "must be a mapping")
		return
	}
	fields := fieldsOf(v)
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		field, known := fields[key.Value]
		switch {
		case !known:
			t.Addf(key.Line, key.Column, "unknown key %q", key.Value)
		case seen[key.Value]:
			t.Addf(key.Line, key.Column, "repeated key %q", key.Value)
		default:
			seen[key.Value] = true
			t.walk(value, field, join(path, key.Value), depth+1)
		}
	}
}

func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func (t *Tree) walkSlice(n *yaml.Node, v reflect.Value, path string, depth int) {
	if n.Kind != yaml.SequenceNode {
		t.form(path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, c := range n.Content {
		t.walk(c, v.Index(i), fmt.Sprintf("%s[%d]", path, i), depth+1)
	}
}

func (t *Tree) walkScalar(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode {
		t.form(path, "must be a single value")
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		t.form(path, "%q is not a valid %s", n.Value, kindOf(v))
	}
}

func kindOf(v reflect.Value) string {
	switch name := v.Type().String(); name {
	case "time.Duration":
		return "duration"
	case "netip.AddrPort":
		return "IP and port"
	case "netip.Addr":
		return "IP"
	default:
		return v.Kind().String()
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
