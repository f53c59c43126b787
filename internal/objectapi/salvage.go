package objectapi

import (
	"encoding/json"

	"pollenspindle.example/pollenspindle/internal/jsonspan"
)

// The functions of this file decode responses with an object whose value keeps decoders from reading the
// whole. They leave the values undecoded, so that the other objects can be used.

func salvagePage(body []byte) (Page, error) {
	var p Page
	err := jsonspan.Members(body, func(name string, value json.RawMessage) error {
		switch name {
		case "version":
			return json.Unmarshal(value, &p.Version)
		case "cursor":
			return json.Unmarshal(value, &p.Cursor)
		case "objects":
			return jsonspan.Elements(value, func(element json.RawMessage) error {
				o, err := salvageObject(element)
				p.Objects = append(p.Objects, o)
				return err
			})
		}
		return nil
	})
	return p, err
}

func salvageChanges(body []byte) (Changes, error) {
	var c Changes
	err := jsonspan.Members(body, func(name string, value json.RawMessage) error {
		switch name {
		case "version":
			return json.Unmarshal(value, &c.Version)
		case "events":
			return jsonspan.Elements(value, func(element json.RawMessage) error {
				e, err := salvageEvent(element)
				c.Events = append(c.Events, e)
				return err
			})
		}
		return nil
	})
	return c, err
}

func salvageEvent(body []byte) (Event, error) {
	var e Event
	err := jsonspan.Members(body, func(name string, value json.RawMessage) (err error) {
		switch name {
		case "type":
			return json.Unmarshal(value, &e.Type)
		case "object":
			e.Object, err = salvageObject(value)
		}
		return err
	})
	return e, err
}

func salvageObject(body []byte) (Object, error) {
	var o Object
	err := jsonspan.Members(body, func(name string, value json.RawMessage) error {
		switch name {
		case "kind":
			return json.Unmarshal(value, &o.Kind)
		case "name":
			return json.Unmarshal(value, &o.Name)
		case "version":
			return json.Unmarshal(value, &o.Version)
		case "value":
			o.Value = value
		case "created":
			o.Created = value
		case "status":
			o.Status = value
		}
		return nil
	})
	return o, err
}
