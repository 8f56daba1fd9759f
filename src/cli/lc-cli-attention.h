/* lc-cli-attention: problems in control's status that an operator must act on, with remedies.
 *
 * HOW TO USE IT
 *     GPtrArray *lines = lc_cli_attention_list (status);      char *, most urgent first
 *     g_ptr_array_free (lines, TRUE);
 *
 * RULES
 *   What may recover by itself is listed only after a while: a control VM silent for 10 s, a data
 *   centre that has not acknowledged for 9 s (the time within which a change must be in force).
 */
#ifndef LC_CLI_ATTENTION_H
#define LC_CLI_ATTENTION_H

#include <glib.h>
#include <jansson.h>

GPtrArray *lc_cli_attention_list (const json_t *status);

#endif /* LC_CLI_ATTENTION_H */
