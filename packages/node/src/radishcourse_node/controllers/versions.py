"""Choice of the version of a model for an attempt."""

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import errors
from radishcourse_node import job as jobs


class Versions:
    """Chooses the session's version, else one at random by share.

    Args:
      environment: Random source.
      configuration: The configuration controller.
    """

    def __init__(self, environment, configuration):
        self._random = environment.random
        self._configuration = configuration

    def choose(self, job: jobs.Job, model: ids.ModelId) -> ids.VersionId:
        """Returns the version on which an attempt runs.

        Raises:
          Refusal: The organisation may use no active version of the model.
        """
        if job.session is not None and job.session.model == model:
            return job.session.version
        configured = self._configuration.config.models.get(model)
        versions = configured.versions if configured else {}
        shares = {
            version_id: version.share
            for version_id, version in versions.items()
            if version.state is states.VersionState.ACTIVE
            and job.organisation.allows(model, version_id)
        }
        if not shares:
            raise errors.Refusal(
                errors.RefusalCode.MODEL_NOT_ALLOWED,
                f'no active version of {model} is allowed',
            )
        weights = list(shares.values())
        if not any(weights):
            weights = None
        return self._random.choices(list(shares), weights)[0]
