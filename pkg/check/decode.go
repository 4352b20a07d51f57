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

// maxFindings is the number of findings about a text after which decoding stops.
const maxFindings = 100

// maxDepth is the maximum nesting depth of the values in a text.
const maxDepth = 32

// Tree holds the positions of the values in a decoded YAML text, and the
// findings about the text.
type Tree struct {
	List
	nodes       map[string]*yaml.Node
	undecodable map[string]bool // paths of values that could not be decoded
}

// Decode decodes one YAML document into the struct that out points to. It adds
// a finding for each unknown key, repeated key, alias and value of the wrong
// type, and one if the text has more than one document. Values are identified
// by paths such as "calls[2].urgency".
func Decode(file string, text []byte, out any) *Tree {
	t := &Tree{List: List{File: file}, nodes: map[string]*yaml.Node{}, undecodable: map[string]bool{}}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var root yaml.Node
	if err := decoder.Decode(&root); err != nil {
		t.addSyntaxError(err)
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

// AddAt adds a finding about the value at path. If there is no such value, the
// finding gets the position of the nearest enclosing value. AddAt does nothing
// for a value that could not be decoded, as there is a finding about it already.
func (t *Tree) AddAt(path, format string, args ...any) {
	if !t.undecodable[path] {
		t.add(path, format, args...)
	}
}

// addUndecodable adds a finding about a value that cannot be decoded. AddAt
// then adds no further findings about this value.
func (t *Tree) addUndecodable(path, format string, args ...any) {
	t.undecodable[path] = true
	t.add(path, format, args...)
}

func (t *Tree) add(path, format string, args ...any) {
	line, column := 1, 1
	for p := path; ; p = parentPath(p) {
		if n, ok := t.nodes[p]; ok {
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

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func (t *Tree) addSyntaxError(err error) {
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
	t.nodes[path] = n
	switch {
	case depth > maxDepth:
		t.addUndecodable(path, "nested too deeply")
	case n.Kind == yaml.AliasNode:
		t.addUndecodable(path, "aliases are not allowed")
	case v.Kind() == reflect.Struct && !decodesText(v):
		t.walkStruct(n, v, path, depth)
	case v.Kind() == reflect.Slice:
		t.walkSlice(n, v, path, depth)
	default:
		t.walkScalar(n, v, path)
	}
}

// decodesText reports whether a struct decodes itself from a single text value,
// as netip.Addr does.
func decodesText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(interface{ UnmarshalText(text []byte) error })
	return ok
}

func (t *Tree) walkStruct(n *yaml.Node, v reflect.Value, path string, depth int) {
	if n.Kind != yaml.MappingNode {
		t.addUndecodable(path, "must be a mapping")
		return
	}
	fields := fieldsByKey(v)
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
			t.walk(value, field, joinPath(path, key.Value), depth+1)
		}
	}
}

// fieldsByKey returns the fields of a struct by their YAML keys.
func fieldsByKey(v reflect.Value) map[string]reflect.Value {
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
		t.addUndecodable(path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, c := range n.Content {
		t.walk(c, v.Index(i), fmt.Sprintf("%s[%d]", path, i), depth+1)
	}
}

func (t *Tree) walkScalar(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode {
		t.addUndecodable(path, "must be a single value")
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		t.addUndecodable(path, "%q is not a valid %s", n.Value, typeName(v))
	}
}

func typeName(v reflect.Value) string {
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

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
