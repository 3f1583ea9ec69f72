// Package policy measures the decisions under the users' load with a fake
// clock: who gets slots, how soon quick work starts, what moves and waves cost.
package policy
