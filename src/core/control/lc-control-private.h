/* lc-control-private: internal functions shared by the source files of lc-control-state. */
#ifndef LC_CONTROL_PRIVATE_H
#define LC_CONTROL_PRIVATE_H

#include "lc-control-state.h"

/* Applies the operation to the view at `revision` and adds it to state->ops. */
void lc_control__emit (LcControlState *state, LcRevision revision, LcViewOp *op);
/* The endpoint state that follows from its record and its data centre. */
LcEndpointState
lc_control__endpoint_state (const LcControlState *state, const LcEndpointRecord *record, LcDcId dc);
/* Leaves a copied service with its settings alone, as an operation carries them: the lists are owned
 * by the view. */
static inline void
lc_control__detach_members (LcService *s)
{
  s->endpoints = NULL;
  s->n_endpoints = 0;
  s->former = NULL;
  s->n_former = 0;
}

/* lc-control-member.c */
void
lc_control__apply_member (LcControlState *state, LcRevision revision, const LcMemberChange *change);

/* lc-control-evacuate.c: returns 0 also if the ordered state is already in force. */
int lc_control__evacuate (LcControlState *state,
                          LcRevision revision,
                          const LcControlCommand *command,
                          LcError *error);

/* lc-control-declare.c: a total order of LcAddress, for results that are equal on all replicas. */
int lc_control__compare_addresses (gconstpointer a, gconstpointer b);
/* lc-control-numbered.c: false if the number is not higher than the one in force. */
bool lc_control__declare_numbered (LcControlState *state,
                                   LcRevision revision,
                                   const LcNumberedDeclaration *numbered);
void lc_control__store_document (LcControlState *state,
                                 uint64_t number,
                                 GBytes *document,
                                 LcRevision revision);

#endif /* LC_CONTROL_PRIVATE_H */
