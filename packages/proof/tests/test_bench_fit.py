"""Guards against slopes and extrapolations that the points do not support."""

import pytest

from persimmonreach.proof.bench import fit_line


def test_line_through_exact_points_is_extrapolated():
    fit = fit_line([500, 1230, 2000], [1250, 2710, 4250])
    assert fit.slope == pytest.approx(2)
    assert fit.intercept == pytest.approx(250)
    assert fit.at(5700) == pytest.approx(11650)
    assert fit.r_squared == pytest.approx(1)


def test_points_off_the_line_lower_the_explained_share():
    fit = fit_line([1, 2, 3, 4], [0, 10, 0, 10])
    assert fit.r_squared == pytest.approx(0.2)


@pytest.mark.parametrize('sizes', [[1, 2], [3, 3, 3]])
def test_too_few_sizes_are_refused(sizes):
    with pytest.raises(ValueError, match='a fit needs'):
        fit_line(sizes, [1.0 for _ in sizes])
