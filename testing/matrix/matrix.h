#ifndef LAPISHATCH_TESTING_MATRIX_MATRIX_H_
#define LAPISHATCH_TESTING_MATRIX_MATRIX_H_

/// Umbrella header of the matrix package: every fault at every step, singly and
/// in pairs, with the brief's invariants checked in every cell.

#include "matrix/fault.h"
#include "matrix/fault_plan.h"
#include "matrix/invariant.h"
#include "matrix/step.h"
#include "matrix/sweep.h"
#include "matrix/world.h"

#endif  // LAPISHATCH_TESTING_MATRIX_MATRIX_H_
