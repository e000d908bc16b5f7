"""Command line of the measurements of the policies."""

import fire

from radishcourse_standins.measure import admission
from radishcourse_standins.measure import autoscaling
from radishcourse_standins.measure import cascade
from radishcourse_standins.measure import evenload
from radishcourse_standins.measure import overload
from radishcourse_standins.measure import placement
from radishcourse_standins.measure import report
from radishcourse_standins.measure import rollout
from radishcourse_standins.measure import shortage
from radishcourse_standins.measure import singlerun

COMMANDS = {
    'cascade': cascade.main,
    'rollout': rollout.main,
    'placement': placement.main,
    'admission': admission.main,
    'overload': overload.main,
    'autoscaling': autoscaling.main,
    'shortage': shortage.main,
    'evenload': evenload.main,
    'singlerun': singlerun.main,
}


def all_of_them(folder: str = report.FOLDER) -> None:
    """Runs every measurement with its default seeds."""
    for command in COMMANDS.values():
        command(folder=folder)


if __name__ == '__main__':
    fire.Fire({**COMMANDS, 'all': all_of_them})
