package data

import (
	"sync"
	"time"
)

const budgetCells = 20

// Budget lets resends be a part of the first sends plus a share of the floor,
// over a window that slides.
type Budget struct {
	mutex  sync.Mutex
	span   time.Duration
	cells  [budgetCells + 1]budgetCell
	shares int
}

type budgetCell struct {
	number  int64
	first   int
	resends int
}

func NewBudget() *Budget { return &Budget{span: 10 * time.Second, shares: 1} }

// Share says among how many proxies the fleet's floor is split.
func (budget *Budget) Share(shares int) {
	budget.mutex.Lock()
	budget.shares = max(shares, 1)
	budget.mutex.Unlock()
}

func (budget *Budget) cell(now time.Time) *budgetCell {
	number := now.UnixNano() / int64(budget.span/budgetCells)
	cell := &budget.cells[number%int64(len(budget.cells))]
	if cell.number != number {
		*cell = budgetCell{number: number}
	}
	return cell
}

// First counts a task's first send.
func (budget *Budget) First() {
	budget.mutex.Lock()
	budget.cell(time.Now()).first++
	budget.mutex.Unlock()
}

// Take grants one resend when the window has room.
func (budget *Budget) Take(fraction float64, floor int) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	now := budget.cell(time.Now())
	first, resends := 0, 0
	for index := range budget.cells {
		if cell := &budget.cells[index]; cell.number > now.number-int64(len(budget.cells)) {
			if cell.number > now.number-budgetCells {
				first += cell.first
			}
			resends += cell.resends
		}
	}
	if float64(resends+1) > fraction*float64(first)+float64(floor)/float64(budget.shares) {
		return false
	}
	now.resends++
	return true
}
