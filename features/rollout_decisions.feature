Feature: A rollout is decided by comparing both versions

  Scenario Outline: Each kind of bad version is rolled back, and a good one succeeds
    # Guards against a verdict that misses a kind of fault, or blames a sound version
    # for a fault that both share or for fewer requests.
    When a version with <profile> is rolled out with seed <seed>
    Then it ends as <phase> in time

    Examples:
      | profile                                                  | seed | phase       |
      | {}                                                       | 1    | succeeded   |
      | {"traffic": {"rate": 20}}                                | 2    | succeeded   |
      | {"traffic": {"rate": 2000, "n_gateways": 340}}           | 3    | succeeded   |
      | {"traffic": {"shared": [0.5, 0, 3]}}                     | 4    | succeeded   |
      | {"traffic": {"shared": [0.5, 5, 12]}}                    | 5    | succeeded   |
      | {"traffic": {"shared": [0.02, 0, 12]}}                   | 6    | succeeded   |
      | {"errors": 0.02}                                         | 7    | rolled_back |
      | {"errors": 0.05, "traffic": {"shared": [0.005, 0, 12]}}  | 8    | rolled_back |
      | {"errors": 0.1}                                          | 9    | rolled_back |
      | {"errors": 0.5}                                          | 10   | rolled_back |
      | {"errors": 0.5, "traffic": {"n_gateways": 340}}          | 11   | rolled_back |
      | {"errors": 0.5, "traffic": {"rate": 20}}                 | 12   | rolled_back |
      | {"errors": 1.0, "traffic": {"rate": 2000}}               | 13   | rolled_back |
      | {"slowness": 1.5}                                        | 14   | rolled_back |
      | {"slowness": 2}                                          | 15   | rolled_back |
      | {"slowness": 5}                                          | 16   | rolled_back |
      | {"errors": 0.3, "since_s": 5}                            | 17   | rolled_back |
      | {"slowness": 3, "since_s": 5}                            | 18   | rolled_back |
      | {"errors": 0.3, "load_per_s": 15}                        | 19   | rolled_back |
      | {"slowness": 3, "load_per_s": 15}                        | 20   | rolled_back |
      | {"errors": 0.3, "route": "quote"}                        | 21   | rolled_back |
      | {"slowness": 3, "route": "lookup"}                       | 22   | rolled_back |

  Scenario: Of 200 seeded versions each gets its verdict within the exposure bound
    When 200 seeded versions are rolled out, each second of them bad
    Then each good one succeeds and each bad one is rolled back within its bounds

  Scenario Outline: An order that can't be carried out is refused with its reason
    Then an order <order> before endpoints of <versions> is refused with <text>

    Examples:
      | order      | versions | text          |
      | desk,v2,12 | v1+v2    | nothing       |
      | shop,v2,12 | v1+v2    | not in the    |
      | desk,v3,12 | v1+v2    | no endpoint   |
      | desk,v2,12 | v2       | all endpoints |
      | desk,v2,0  | v1+v2    | duration_s    |
      | desk,v2,1e9| v1+v2    | duration_s    |

  Scenario Outline: A share of the traffic is given to as few endpoints as carry it
    # Guards against a test that never brings an endpoint to its full load.
    Then <share> of the traffic of <n_old> endpoints tests <names> in turn <turn>

    Examples:
      | share | n_old | names | turn |
      | 0.1   | 6     | a     | 0    |
      | 0.1   | 6     | c     | 2    |
      | 0.1   | 20    | ca    | 1    |
      | 1.0   | 3     | abc   | 0    |
