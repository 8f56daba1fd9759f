# bash completion for lychee; source it, or put it into /etc/bash_completion.d
_lychee()
{
  local word=${COMP_WORDS[COMP_CWORD]} options=
  case ${COMP_WORDS[0]##*/}:${COMP_WORDS[1]} in
    lychee-agent:*) options='--settings --check --print-settings --log-level --help --version' ;;
    lychee-balancer:*) options='--settings --check --print-settings --log-level --help --version' ;;
    lychee-control:*) options='--settings --check --print-settings --log-level --help --version' ;;
    lychee:plan) options='--file --with --allow-empty --allow-cut --control --settings --json --timeout-s --who --request-id --help' ;;
    lychee:confirm) options='--wait --wait-s --control --settings --json --timeout-s --who --request-id --help' ;;
    lychee:evacuate) options='--end --allow-empty --control --settings --json --timeout-s --who --request-id --help' ;;
    lychee:status) options='--control --settings --json --timeout-s --who --request-id --help' ;;
    lychee:history) options='--max --control --settings --json --timeout-s --who --request-id --help' ;;
    lychee:burn) options='--service --admin-port --history --html --fail-on-page --control --settings --json --timeout-s --who --request-id --help' ;;
    lychee:explain) options='--flow --request --service --caller --vm --since --until --bad --spread --svg --around-ms --json --help' ;;
    lychee:*) options='plan confirm evacuate status history burn explain --help --version' ;;
  esac
  mapfile -t COMPREPLY < <(compgen -W "$options" -- "$word"; compgen -f -- "$word")
}
complete -F _lychee lychee lychee-agent lychee-balancer lychee-control
