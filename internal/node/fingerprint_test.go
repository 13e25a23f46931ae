package node

import (
	"reflect"
	"testing"

	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
)

// Every field of the limits and of a request class is part of the policy hash.
func TestPolicyHashCoversEveryField(t *testing.T) {
	base := settings.Deployment{Limits: fleet.Limits{Classes: make([]fleet.Class, 1)}}
	baseHash := policyHash(&base)
	for _, part := range []any{&base.Limits, &base.Limits.Classes[0]} {
		v := reflect.ValueOf(part).Elem()
		for i := range v.NumField() {
			field, name := v.Field(i), v.Type().Field(i).Name
			if name == "Seed" || name == "Zone" || field.Kind() == reflect.Slice {
				continue
			}
			original := reflect.New(field.Type()).Elem()
			original.Set(field)
			switch field.Kind() {
			case reflect.Bool:
				field.SetBool(true)
			case reflect.Float64:
				field.SetFloat(1)
			case reflect.Uint8, reflect.Uint64:
				field.SetUint(1)
			default:
				field.SetInt(1)
			}
			if policyHash(&base) == baseHash {
				t.Errorf("the hash does not depend on %s", name)
			}
			field.Set(original)
		}
	}
}
