package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

func (d *Document) value(v hujson.Value, into reflect.Value, path string) {
	at := d.lines.position(v.StartOffset)
	if _, ok := d.positions[path]; !ok {
		d.positions[path] = at
	}
	switch tree := v.Value.(type) {
	case *hujson.Object:
		if into.Kind() != reflect.Struct {
			d.addAt(at, path, "must be "+kindName(into.Kind())+", not an object")
			return
		}
		d.object(tree, into, path)
	case *hujson.Array:
		if into.Kind() != reflect.Slice {
			d.addAt(at, path, "must be "+kindName(into.Kind())+", not a list")
			return
		}
		d.array(tree, into, path)
	case hujson.Literal:
		if message := setLiteral(tree, into); message != "" {
			d.addAt(at, path, message)
		}
	}
}

func (d *Document) object(tree *hujson.Object, into reflect.Value, path string) {
	fields := fieldsByName(into.Type())
	seen := map[string]bool{}
	for _, member := range tree.Members {
		name := memberName(member)
		at := d.lines.position(member.Name.StartOffset)
		child := joinPath(path, name)
		index, known := fields[name]
		switch {
		case !known:
			d.addAt(at, child, "is not a known name"+suggestion(name, fields))
		case seen[name]:
			d.addAt(at, child, "is given twice")
		default:
			d.value(member.Value, into.Field(index), child)
		}
		seen[name] = true
	}
}

func (d *Document) array(tree *hujson.Array, into reflect.Value, path string) {
	list := reflect.MakeSlice(into.Type(), len(tree.Elements), len(tree.Elements))
	for i, element := range tree.Elements {
		d.value(element, list.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
	into.Set(list)
}

// setLiteral sets into to the literal. It returns the message of a fault, or an empty string.
func setLiteral(literal hujson.Literal, into reflect.Value) string {
	want := into.Kind()
	got := literal.Kind()
	switch {
	case want == reflect.String && got == '"':
		into.SetString(literal.String())
	case want == reflect.Bool && (got == 't' || got == 'f'):
		into.SetBool(literal.Bool())
	case want == reflect.Float64 && got == '0':
		n, err := strconv.ParseFloat(string(literal), 64)
		if err != nil {
			return "is out of range"
		}
		into.SetFloat(n)
	case (want == reflect.Int || want == reflect.Int64) && got == '0':
		n, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil {
			return "must be a whole number within 64 bits"
		}
		into.SetInt(n)
	default:
		return fmt.Sprintf("must be %s, not %s", kindName(want), literalName(got))
	}
	return ""
}

func memberName(member hujson.ObjectMember) string {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// fieldsByName maps the JSON names of a struct's fields to their indexes.
func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = i
	}
	return fields
}

// suggestion returns a hint at the field that differs from name only by case, if there is one.
func suggestion(name string, fields map[string]int) string {
	for field := range fields {
		if strings.EqualFold(field, name) {
			return "; did you mean " + field + "?"
		}
	}
	return ""
}

// joinPath appends name to path. It quotes names that could be confused with a path or that contain
// line breaks.
func joinPath(path, name string) string {
	if !isPlain(name) {
		quoted, _ := json.Marshal(name)
		name = string(quoted)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func isPlain(name string) bool {
	for _, r := range name {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_', r == '-':
		default:
			return false
		}
	}
	return name != ""
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}

func literalName(k hujson.Kind) string {
	switch k {
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "true or false"
	}
}
