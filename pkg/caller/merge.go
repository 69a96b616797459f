package caller

import "encoding/json"

// replacedKeys are the fields whose string value in a delta replaces the earlier value. Other strings are appended.
var replacedKeys = map[string]bool{"role": true, "id": true, "type": true, "name": true, "finish_reason": true, "index": true}

// choiceMerger merges the deltas of a stream into the choices of a complete response.
type choiceMerger struct {
	// choices are the merged choices by index.
	choices map[int]map[string]any
	// order contains the indices in order of first appearance.
	order []int
}

// newChoiceMerger returns a merger without choices.
func newChoiceMerger() *choiceMerger {
	return &choiceMerger{choices: map[int]map[string]any{}}
}

// add merges the choices of one event, given as a JSON array. It returns an error if raw is malformed.
func (c *choiceMerger) add(raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	var choices []struct {
		Index        int             `json:"index"`
		Delta        map[string]any  `json:"delta"`
		FinishReason any             `json:"finish_reason"`
		Logprobs     json.RawMessage `json:"logprobs"`
	}
	if err := json.Unmarshal(raw, &choices); err != nil {
		return err
	}
	for _, choice := range choices {
		into := c.choice(choice.Index)
		mergeObject(into["message"].(map[string]any), choice.Delta)
		if choice.FinishReason != nil {
			into["finish_reason"] = choice.FinishReason
		}
	}
	return nil
}

// choice returns the merged choice with the given index and adds an empty one if there is none.
func (c *choiceMerger) choice(index int) map[string]any {
	into, ok := c.choices[index]
	if !ok {
		into = map[string]any{
			"index":         index,
			"message":       map[string]any{"role": "assistant", "content": ""},
			"finish_reason": nil,
		}
		c.choices[index] = into
		c.order = append(c.order, index)
	}
	return into
}

// list returns the merged choices in order of first appearance.
func (c *choiceMerger) list() []map[string]any {
	out := make([]map[string]any, 0, len(c.order))
	for _, index := range c.order {
		out = append(out, c.choices[index])
	}
	return out
}

// mergeObject merges the fields of delta into the object into.
func mergeObject(into, delta map[string]any) {
	for key, value := range delta {
		into[key] = mergeValue(key, into[key], value)
	}
}

// mergeValue returns the value of the field key after merging value into old.
func mergeValue(key string, old, value any) any {
	switch value := value.(type) {
	case string:
		text, ok := old.(string)
		if !ok || replacedKeys[key] {
			return value
		}
		return text + value
	case map[string]any:
		object, ok := old.(map[string]any)
		if !ok {
			object = map[string]any{}
		}
		mergeObject(object, value)
		return object
	case []any:
		list, _ := old.([]any)
		return mergeList(list, value)
	case nil:
		return old
	default:
		return value
	}
}

// mergeList merges each entry of delta that has an index field into the entry of into with the same index. Other entries
// are appended.
func mergeList(into, delta []any) []any {
	for _, entry := range delta {
		object, isObject := entry.(map[string]any)
		if !isObject {
			into = append(into, entry)
			continue
		}
		target := findIndex(into, object["index"])
		if target == nil {
			target = map[string]any{}
			into = append(into, target)
		}
		mergeObject(target, object)
	}
	return into
}

// findIndex returns the entry of list whose index field equals index, or nil.
func findIndex(list []any, index any) map[string]any {
	if index == nil {
		return nil
	}
	for _, entry := range list {
		if object, ok := entry.(map[string]any); ok && object["index"] == index {
			return object
		}
	}
	return nil
}
