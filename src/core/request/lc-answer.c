#include "lc-answer.h"

LcAnswer *
lc_answer_new (uint32_t status, GBytes *headers, GBytes *body)
{
  LcAnswer *answer = g_new (LcAnswer, 1);

  answer->n_refs = 1;
  answer->status = status;
  answer->headers = headers;
  answer->body = body;
  return answer;
}

LcAnswer *
lc_answer_ref (LcAnswer *answer)
{
  g_atomic_int_inc (&answer->n_refs);
  return answer;
}

void
lc_answer_unref (LcAnswer *answer)
{
  if (answer == NULL || !g_atomic_int_dec_and_test (&answer->n_refs))
    return;
  g_bytes_unref (answer->headers);
  g_bytes_unref (answer->body);
  g_free (answer);
}

size_t
lc_answer_bytes (const LcAnswer *answer)
{
  return sizeof *answer + g_bytes_get_size (answer->headers) + g_bytes_get_size (answer->body);
}
