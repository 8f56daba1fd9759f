/* lc-control-private: what the parts of lc-control-state share. */
#ifndef LC_CONTROL_PRIVATE_H
#define LC_CONTROL_PRIVATE_H

#include "lc-control-state.h"

/* Adds one operation at `revision` to state->ops and applies it to the view. */
void lc_control__emit (LcControlState *state, LcRevision revision, LcViewOp *op);
/* The state that an endpoint has by what is remembered of it and of its data centre. */
LcEndpointState
lc_control__endpoint_state (const LcControlState *state, const LcEndpointRecord *record, LcDcId dc);
/* lc-control-member.c */
void lc_control__member (LcControlState *state, LcRevision revision, const LcMemberChange *change);

/* lc-control-evacuate.c: 0 also when the order is in force already. */
int lc_control__evacuate (LcControlState *state,
                          LcRevision revision,
                          const LcControlCommand *command,
                          LcError *error);

/* lc-control-declare.c: orders LcAddress, the same on every replica. */
int lc_control__compare_addresses (gconstpointer a, gconstpointer b);
/* lc-control-numbered.c: false when the number is not above the one that is held. */
bool lc_control__declare_numbered (LcControlState *state,
                                   LcRevision revision,
                                   const LcNumberedDeclaration *numbered);
void lc_control__keep_document (LcControlState *state,
                                uint64_t number,
                                GBytes *document,
                                LcRevision revision);

#endif /* LC_CONTROL_PRIVATE_H */
