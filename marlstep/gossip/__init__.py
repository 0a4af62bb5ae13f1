"""What a running instance knows of its servers, handed to one that has just started, discounted by age."""
